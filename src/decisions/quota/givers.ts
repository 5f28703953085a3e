/** Chooses whom an entry VM asks for tokens. */
import type { Random } from '../../core/random/index.js';
import { type Giver, GiverRole, type Givers } from './types.js';

/** Floors that are asked when every lender is dry: those of a whole small fleet. */
const FLOORS_ASKED = 16;

/** What is known of an entry VM that may give. */
export interface GiverMember {
  readonly vm: string;
  readonly dataCentre: string;
  readonly lender: boolean;
}

function rotated<T>(items: readonly T[], random: Random): readonly T[] {
  if (items.length === 0) return items;
  const first = random.int(0, items.length - 1);
  return [...items.slice(first), ...items.slice(0, first)];
}

/** The own data centre's lender first; then the other lenders, and floors, the near ones first. */
export function chooseGivers(
  self: GiverMember,
  others: readonly GiverMember[],
  random: Random,
): Givers {
  const lenders = [self, ...others].filter(({ lender }) => lender);
  const isNear = ({ dataCentre }: GiverMember) => dataCentre === self.dataCentre;
  const local = lenders.find(isNear);
  const giver =
    (role: GiverRole) =>
    ({ vm }: GiverMember): Giver => ({ vm, role });
  const near = rotated(others.filter(isNear), random);
  const far = rotated(
    others.filter((member) => !isNear(member)),
    random,
  );
  const floors = [...near, ...far].slice(0, FLOORS_ASKED);
  return {
    local: local === undefined ? null : giver(GiverRole.lender)(local),
    others: [
      ...lenders.filter((member) => !isNear(member)).map(giver(GiverRole.lender)),
      ...floors.map(giver(GiverRole.floor)),
    ],
  };
}
