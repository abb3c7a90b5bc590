/** The nodes acting together: membership, placement, control traffic between peers. */
export * from './membership/common/membershipService.js';
export * from './placement/common/placement.js';
