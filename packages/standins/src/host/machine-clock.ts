import process from 'node:process';
import type {Clock} from '@bluebellyard/core';

const nsPerMs = 1_000_000;

/** Clock whose monotonic `now`, in milliseconds, is the same in all processes on one machine. */
export const machineClock: Clock = {
	now: () => Number(process.hrtime.bigint()) / nsPerMs,
	date: () => new Date(),
};
