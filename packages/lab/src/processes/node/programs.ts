/** Paths of the programs that the lab starts. */
import { fileURLToPath } from 'node:url';

const PACKAGES = new URL('../../../../', import.meta.url);

function toPath(relative: string): string {
  return fileURLToPath(new URL(relative, PACKAGES));
}

/** Paths of the programs; all are run by Node.js. */
export const Program = {
  Platform: toPath('standins/dist/platform/node/main.js'),
  Target: toPath('standins/dist/target/node/main.js'),
  Node: toPath('node/bin/parsleymux.js'),
  Ctl: toPath('ctl/bin/parsleyctl.js'),
  /** The node for the users' platform, bundled in one file as it is deployed. */
  PlatformNode: toPath('../target/parsleymux-platform.cjs'),
  /** The same program as separate modules, so that breaks can replace methods in them. */
  PlatformModules: toPath('../platform/dist/app/main.js'),
} as const;
