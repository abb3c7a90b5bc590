/** Reads the settings of a node. */
import type { NodeSettings } from '../../gen/parsleymux/settings/v1/settings_pb.js';
import { NodeSettingsSchema } from '../../gen/parsleymux/settings/v1/settings_pb.js';
import { checkMessageText } from '../../rules/common/checkMessageText.js';

/**
 * Reads a settings file; every field that it leaves out has its default.
 *
 * @throws SettingsError with every problem that was found.
 *
 * @example
 * const settings = parseSettings(await readFile(path, 'utf8'), path);
 * settings.timing?.configPollMs; // 2000
 */
export function parseSettings(text: string, fileName: string): NodeSettings {
  return checkMessageText(NodeSettingsSchema, text, fileName);
}
