/** Prints the bound of the placement and the planner's result on the loads of `test/replay/hard-loads.ts`. */
import { nominationsLoad, ordersLoad } from '../../../test/replay/hard-loads.js';
import { ModelFleet, type ModelFleetOptions } from '../../../test/replay/model-fleet.js';
import { placementBound } from './index.js';

const SEEDS = [1, 2, 3];

const percent = (part: number, of: number) => `${((part / of) * 100).toFixed(1)} %`;

function describe(name: string, opts: ModelFleetOptions): string {
  const fleet = new ModelFleet(opts);
  fleet.play();
  const bound = placementBound(fleet.trace());
  const inTime = [...fleet.outcomes.values()].reduce((sum, outcome) => sum + outcome.inTime, 0);
  return [
    `${name}, seed ${opts.seed}: ${bound.asked} requests`,
    `bound ${percent(bound.inTime, bound.asked)} in time`,
    `(loads cost ${percent(bound.lostToLoads, bound.asked)}, slots ${percent(bound.lostToSlots, bound.asked)})`,
    `planner ${percent(inTime, bound.asked)}`,
    `busiest engine ${fleet.busiestToMean().toFixed(2)} times the mean`,
  ].join(', ');
}

SEEDS.forEach((seed) => {
  process.stdout.write(`${describe('185 models', ordersLoad(seed))}\n`);
  process.stdout.write(`${describe('113 models', nominationsLoad(seed))}\n`);
});
