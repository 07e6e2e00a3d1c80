/**
 * Whole numbers as operators write them: decimal digits only.
 */

const maxDigits = 9;
const digits = new Set('0123456789');

/** Value of a text of one to nine digits; undefined for any other text. */
export function parseWholeNumber(text: string): number | undefined {
	const isWhole = text !== '' && text.length <= maxDigits && [...text].every(character => digits.has(character));
	return isWhole ? Number(text) : undefined;
}
