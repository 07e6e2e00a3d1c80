/** Part of the view with the version and the limits of the active configuration; changes with each configuration. */
export const configPart = 'config';

/** Part of the view with the limits that targets name, by target id, in requests per second. */
export const limitPart = 'limit';

/** Part of the view with the targets that announced their leaving, by target id. */
export const leavingPart = 'leaving';

/** Part of the view with the requests under which targets ended, by fingerprint. */
export const suspectPart = 'suspect';

/** Part of the view with the ceilings of teams for each instance, by team, in requests per second. */
export const ceilingPart = 'ceiling';

/** Part of the view with the instances that are cut off from the targets, by name. */
export const cutPart = 'cut';
