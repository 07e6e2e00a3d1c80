/** Title of a result line; the directive after it, such as `# SKIP`, is part of the title. */
const resultPattern = /^(?<not>not )?ok \d+ - (?<title>.*)$/v;

/** Lines after the last result: the plan and the totals. */
const endPattern = /^(?:1\.\.\d+|# tests \d+)$/v;

/**
 * Reads the results of a TAP stream. A result carries the lines that follow it
 * up to the next one: what the test logged, and the diagnostic block of a failure.
 *
 * @param {AsyncIterable<string> | Iterable<string>} lines
 * @returns {AsyncGenerator<{title: string; isOk: boolean; lines: string[]}>}
 */
export async function * readTap(lines) {
	let result;
	for await (const line of lines) {
		const groups = resultPattern.exec(line)?.groups;
		if (groups === undefined && !endPattern.test(line)) {
			result?.lines.push(line);
			continue;
		}

		if (result !== undefined) {
			yield result;
		}

		result = groups && {title: groups.title, isOk: groups.not === undefined, lines: [line]};
	}

	if (result !== undefined) {
		yield result;
	}
}
