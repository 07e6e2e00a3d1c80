export * from './check-rules.js';
export * from './duration.js';
export * from './edit-rules.js';
export * from './parse-rules.js';
export {formatProblem, type RuleProblem} from './problem.js';
export {isName, nameForm} from './rule-name.js';
export * from './route-table.js';
export * from './rules.js';
export * from './whole-number.js';
