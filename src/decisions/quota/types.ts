/** Messages of the quota: token loans between the entry VMs. Amounts are tokens, rates tokens/s. */

/** Which account of a daemon gives a loan. */
export const GiverRole = {
  /** The data centre's share, kept by its steward. */
  lender: 'lender',
  /** The part that belongs to one entry VM and outlives the death of the lender. */
  floor: 'floor',
} as const;
export type GiverRole = (typeof GiverRole)[keyof typeof GiverRole];

/** Rate and burst of one customer: over the fleet, or the part of it that an account owns. */
export interface CustomerLimit {
  readonly customer: string;
  readonly ratePerS: number;
  readonly burst: number;
}

/** An account on another daemon. */
export interface Giver {
  readonly vm: string;
  readonly role: GiverRole;
}

/** Who can be asked for loans, as the membership knows it. */
export interface Givers {
  readonly local: Giver | null;
  readonly others: readonly Giver[];
}

export const QuotaEffectType = {
  ask: 'ask',
  settle: 'settle',
  refund: 'refund',
  admit: 'admit',
  refuse: 'refuse',
} as const;

/** Asks `to` for a loan; a giver may grant less than asked. */
export interface AskEffect {
  readonly type: typeof QuotaEffectType.ask;
  readonly to: Giver;
  readonly askId: number;
  readonly customer: string;
  readonly tokens: number;
}

/** Tells the giver what became of a loan; `returned` tokens were taken off it before this was sent. */
export interface SettleEffect {
  readonly type: typeof QuotaEffectType.settle;
  readonly to: Giver;
  readonly customer: string;
  readonly loanId: number;
  readonly spent: number;
  readonly returned: number;
}

/** Gives back tokens that a request reserved and did not use. */
export interface RefundEffect {
  readonly type: typeof QuotaEffectType.refund;
  readonly to: Giver;
  readonly customer: string;
  readonly tokens: number;
}

export interface AdmitEffect {
  readonly type: typeof QuotaEffectType.admit;
  readonly requestId: string;
}

export interface RefuseEffect {
  readonly type: typeof QuotaEffectType.refuse;
  readonly requestId: string;
  readonly retryAfterMs: number;
}

export type QuotaEffect = AskEffect | SettleEffect | RefundEffect | AdmitEffect | RefuseEffect;

/** A loan as its giver answers it; `tokens` may be 0. */
export interface Grant {
  readonly askId: number;
  readonly customer: string;
  readonly loanId: number;
  readonly tokens: number;
}

/** A request that wants to be admitted. */
export interface QuotaRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly tokens: number;
  /** Time by which it must be admitted. */
  readonly deadlineAtMs: number;
}
