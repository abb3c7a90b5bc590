/** Renders the burn report as one self-contained HTML page. */
import type { BurnResponse, ServiceBurn, WindowBurn } from '@parsleymux/schema';
import { renderBurnPlot } from './burnPlot.js';

const STYLE = `
:root { color-scheme: light; }
body { font: 15px/1.5 system-ui, sans-serif; color: #1d2329; background: #fff; margin: 2rem auto; max-width: 60rem; padding: 0 1rem; }
h1 { font-size: 1.5rem; margin-bottom: 0; }
h2 { font-size: 1.15rem; margin: 2.5rem 0 0.25rem; }
p { margin: 0.25rem 0 1rem; color: #505a64; }
table { border-collapse: collapse; font-variant-numeric: tabular-nums; margin-bottom: 1rem; }
th, td { text-align: right; padding: 0.2rem 1rem 0.2rem 0; border-bottom: 1px solid #dfe3e7; }
th:first-child, td:first-child { text-align: left; }
th { font-weight: 600; color: #505a64; }
.alert { display: inline-block; background: #a4161a; color: #fff; border-radius: 3px; padding: 0.1rem 0.5rem; margin: 0 0.5rem 0.5rem 0; }
.calm { color: #1b6b3a; }
.over { color: #a4161a; font-weight: 600; }
figure { margin: 0.5rem 0 1.25rem; }
figcaption { color: #505a64; font-size: 0.85rem; }
svg { width: 100%; height: auto; display: block; }
`;
const PERCENT = 100;

/**
 * Renders the page.
 *
 * @example
 * writeFileSync('burn.html', renderBurnPage(report));
 */
export function renderBurnPage(report: BurnResponse): string {
  const at = new Date(Number(report.atMs)).toISOString().slice(0, 16).replace('T', ' ');
  const sections = report.services.map((service) => renderService(service, Number(report.atMs)));
  const body = sections.length === 0 ? '<p>No service is in force.</p>' : sections.join('\n');
  return `<!doctype html>
<html lang="en">
<head>
<meta charset="utf-8">
<meta name="viewport" content="width=device-width, initial-scale=1">
<title>Service-level burn</title>
<style>${STYLE}</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>As of ${at} UTC. A burn of 1 spends exactly what the objective allows; 14.4 spends the month's
allowance in two days.</p>
${body}
</body>
</html>
`;
}

function renderService(service: ServiceBurn, nowMs: number): string {
  const alerts = service.alerts.map((alert) => `<span class="alert">${encodeHtml(alert)}</span>`);
  return `<section>
<h2>${encodeHtml(service.service)}</h2>
<p>${encodeHtml(describeObjective(service))}</p>
<div>${alerts.length === 0 ? '<span class="calm">No alert fires.</span>' : alerts.join('')}</div>
<figure>${renderBurnPlot(service, nowMs)}<figcaption>burn of the hour before each instant</figcaption></figure>
${renderWindows(service.windows)}
</section>`;
}

function describeObjective({ objective }: ServiceBurn): string {
  if (objective === undefined)
    return 'No objectives are set: 99.9% of requests succeed, 99% of those within 1000 ms.';
  const available = `${formatPercent(objective.availability)} of requests succeed`;
  const fast = `${formatPercent(objective.latencyShare)} of those within ${objective.latencyMs} ms`;
  return `Objectives: ${available}, ${fast}.`;
}

function formatPercent(share: number): string {
  return `${Number((share * PERCENT).toPrecision(6))}%`;
}

function renderWindows(windows: readonly WindowBurn[]): string {
  const rows = windows.map((window) => {
    const { counts } = window;
    const cells = [counts?.requests ?? 0n, counts?.failed ?? 0n, counts?.slow ?? 0n].map(String);
    const plain = cells.map((cell) => `<td>${cell}</td>`).join('');
    const burns = renderBurn(window.availabilityBurn) + renderBurn(window.latencyBurn);
    return `<tr><td>${formatWindow(window.windowS)}</td>${plain}${burns}</tr>`;
  });
  const names = ['window', 'requests', 'failed', 'slow', 'availability burn', 'latency burn'];
  const header = names.map((name) => `<th>${name}</th>`).join('');
  return `<table><thead><tr>${header}</tr></thead><tbody>${rows.join('')}</tbody></table>`;
}

function renderBurn(burn: number): string {
  return `<td${burn > 1 ? ' class="over"' : ''}>${formatBurn(burn)}</td>`;
}

/**
 * Formats a burn rate for display.
 *
 * @example
 * formatBurn(14.44); // '14.4'
 */
export function formatBurn(burn: number): string {
  return burn >= PERCENT ? burn.toFixed(0) : burn.toFixed(burn >= 10 ? 1 : 2);
}

/**
 * Formats the length of a window, in seconds, for display.
 *
 * @example
 * formatWindow(3600); // '1 h'
 */
export function formatWindow(windowS: number): string {
  if (windowS < 3600) return `${windowS / 60} min`;
  return windowS < 86_400 ? `${windowS / 3600} h` : `${windowS / 86_400} d`;
}

/** Escapes names, which come from members' intents, so that the page can't execute them. */
function encodeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}
