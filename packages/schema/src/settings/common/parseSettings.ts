/** Parses a node's settings file. */
import type { NodeSettings } from '../../gen/parsleymux/settings/v1/settings_pb.js';
import { NodeSettingsSchema } from '../../gen/parsleymux/settings/v1/settings_pb.js';
import { checkMessageText } from '../../rules/common/checkMessageText.js';

/**
 * Parses the text of a settings file. Absent fields get their defaults.
 *
 * @throws SettingsError that lists all problems.
 *
 * @example
 * const settings = parseSettings(await readFile(path, 'utf8'), path);
 * settings.timing?.configPollMs; // 2000
 */
export function parseSettings(text: string, fileName: string): NodeSettings {
  return checkMessageText(NodeSettingsSchema, text, fileName);
}
