/** Renders a page once for all requests that arrive meanwhile. */

/**
 * A page that is expensive to render.
 *
 * @example
 * const page = new SharedPage(() => registry.metrics());
 * response.end(await page.render());
 */
export class SharedPage {
  private rendering: Promise<Buffer> | undefined;

  constructor(private readonly renderPage: () => Promise<string>) {}

  /** Returns the encoded page, which all responses share. */
  render(): Promise<Buffer> {
    this.rendering ??= this.renderPage()
      .then((text) => Buffer.from(text))
      .finally(() => {
        this.rendering = undefined;
      });
    return this.rendering;
  }
}
