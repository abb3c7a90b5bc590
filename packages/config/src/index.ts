/** Configuration: intents, plans, and their distribution to every node. */
export * from './fleetConfig/common/fleetConfig.js';
export * from './routes/common/routeTable.js';
