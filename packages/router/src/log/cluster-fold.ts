import {Fold, type FoldVerdict} from '@bluebellyard/coordination';
import {
	decodeTables, emptyTables, encodeTables, foldData, RejectReason, type FoldResult, type Tables,
} from '@bluebellyard/core';

/** Folds log records into the cluster tables and passes the result of each to `onResult`. */
export class ClusterFold extends Fold<Tables> {
	constructor(private readonly onResult: (result: FoldResult) => void = () => undefined) {
		super();
	}

	override initial(): Tables {
		return emptyTables();
	}

	override apply(state: Tables, offset: number, data: string): FoldVerdict {
		const result = foldData(state, offset, data);
		this.onResult(result);
		return {
			accepted: result.accepted,
			reason: result.detail === undefined ? result.reason : `${result.reason}: ${result.detail}`,
			id: result.record?.id,
			foreign: result.reason === RejectReason.Malformed,
		};
	}

	override encode(state: Tables): string {
		return encodeTables(state);
	}

	override decode(text: string): Tables {
		return decodeTables(text);
	}
}
