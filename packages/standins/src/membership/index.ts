export * from './member.js';
export * from './membership-list.js';
