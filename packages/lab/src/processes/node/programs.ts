/** Where the programs are that the lab starts. */
import { fileURLToPath } from 'node:url';

const PACKAGES = new URL('../../../../', import.meta.url);

function toPath(relative: string): string {
  return fileURLToPath(new URL(relative, PACKAGES));
}

/** Paths of the programs, each run by Node. */
export const Program = {
  Platform: toPath('standins/dist/platform/node/main.js'),
  Target: toPath('standins/dist/target/node/main.js'),
  Node: toPath('node/bin/parsleymux.js'),
  Ctl: toPath('ctl/bin/parsleyctl.js'),
  /** The node on the users' platform, joined in one file as it is deployed. */
  PlatformNode: toPath('../target/parsleymux-platform.mjs'),
  /** The same in modules, of which single ones can be replaced. */
  PlatformModules: toPath('../platform/dist/app/main.js'),
} as const;
