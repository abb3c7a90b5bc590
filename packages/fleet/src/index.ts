/** Cooperation of the nodes: membership, placement and control calls between peers. */
export * from './membership/common/listedMembershipService.js';
export * from './membership/common/membershipService.js';
export * from './membership/common/peerHealth.js';
export * from './neighbours/common/neighbourSet.js';
export * from './polling/common/sharedInterval.js';
export * from './peers/node/controlHandler.js';
export * from './peers/node/peerAuthenticator.js';
export * from './peers/node/peerClients.js';
export * from './placement/common/placement.js';
export * from './placement/common/rendezvousPlacement.js';
