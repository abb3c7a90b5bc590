/** Messages and settings, generated from packages/schema/proto by `npm run generate`. */
export * from './gen/parsleymux/admin/v1/admin_pb.js';
export * from './gen/parsleymux/config/v1/config_pb.js';
export * from './gen/parsleymux/control/v1/control_pb.js';
export * from './gen/parsleymux/dispatch/v1/dispatch_pb.js';
export * from './gen/parsleymux/options/v1/options_pb.js';
export * from './gen/parsleymux/settings/v1/settings_pb.js';
export * from './rules/common/checkMessageText.js';
export * from './rules/common/fieldRules.js';
export * from './rules/common/settingsError.js';
export * from './rules/common/valueCheck.js';
export * from './settings/common/parseSettings.js';
