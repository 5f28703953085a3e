/** Chooses the accounts that an entry VM asks for token loans. */
import type { Random } from '../../core/random/index.js';
import { type GrantorAccount, GrantorRole, type Grantors } from './types.js';

/**
 * Maximum number of local reserves asked besides the lenders; a small fleet has no more than this.
 */
const MAX_RESERVES_ASKED = 16;

/** An entry VM whose accounts may grant loans. */
export interface GrantorCandidate {
  readonly vm: string;
  readonly dataCentre: string;
  readonly lender: boolean;
}

function rotated<T>(items: readonly T[], random: Random): readonly T[] {
  if (items.length === 0) return items;
  const first = random.int(0, items.length - 1);
  return [...items.slice(first), ...items.slice(0, first)];
}

/**
 * Returns the lender of the local data centre and, separately, the other grantors in order of
 * preference: the remote lenders, then the local reserves of other VMs. Reserves in the local data
 * centre come first.
 */
export function chooseGrantors(
  self: GrantorCandidate,
  others: readonly GrantorCandidate[],
  random: Random,
): Grantors {
  const lenders = [self, ...others].filter(({ lender }) => lender);
  const isLocal = ({ dataCentre }: GrantorCandidate) => dataCentre === self.dataCentre;
  const localLender = lenders.find(isLocal);
  const account =
    (role: GrantorRole) =>
    ({ vm }: GrantorCandidate): GrantorAccount => ({ vm, role });
  const localVms = rotated(others.filter(isLocal), random);
  const remoteVms = rotated(
    others.filter((member) => !isLocal(member)),
    random,
  );
  const reserveVms = [...localVms, ...remoteVms].slice(0, MAX_RESERVES_ASKED);
  return {
    local: localLender === undefined ? null : account(GrantorRole.lender)(localLender),
    others: [
      ...lenders.filter((member) => !isLocal(member)).map(account(GrantorRole.lender)),
      ...reserveVms.map(account(GrantorRole.floor)),
    ],
  };
}
