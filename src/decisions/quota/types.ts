/** Types of the token loans between entry VMs. Amounts are in tokens, rates in tokens/s. */

/** Kind of account that grants a loan. */
export const GrantorRole = {
  /** The data centre's share, managed by its steward. */
  lender: 'lender',
  /** Local reserve: one entry VM's small share, which is still available if the lender fails. */
  floor: 'floor',
} as const;
export type GrantorRole = (typeof GrantorRole)[keyof typeof GrantorRole];

/** Rate and burst of one customer, either fleet-wide or the share of one account. */
export interface CustomerLimit {
  readonly customer: string;
  readonly ratePerS: number;
  readonly burst: number;
}

/** A loan grantor: an account on an entry VM. */
export interface GrantorAccount {
  readonly vm: string;
  readonly role: GrantorRole;
}

/** The loan grantors that an entry VM asks. */
export interface Grantors {
  /** The lender of the local data centre; null if none is known. */
  readonly local: GrantorAccount | null;
  /** All other grantors, in order of preference. */
  readonly others: readonly GrantorAccount[];
}

export const QuotaEffectType = {
  ask: 'ask',
  settle: 'settle',
  refund: 'refund',
  admit: 'admit',
  refuse: 'refuse',
} as const;

/** Asks `to` for a loan; the grantor may grant less. */
export interface AskEffect {
  readonly type: typeof QuotaEffectType.ask;
  readonly to: GrantorAccount;
  readonly askId: number;
  readonly customer: string;
  readonly tokens: number;
}

/** Settles a loan. The borrower has already deducted the `returned` tokens from the loan. */
export interface SettleEffect {
  readonly type: typeof QuotaEffectType.settle;
  readonly to: GrantorAccount;
  readonly customer: string;
  readonly loanId: number;
  readonly spent: number;
  readonly returned: number;
}

/** Credits tokens that a request reserved and did not use. */
export interface RefundEffect {
  readonly type: typeof QuotaEffectType.refund;
  readonly to: GrantorAccount;
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

/** A grantor's response to a loan request; `tokens` may be 0. */
export interface Grant {
  readonly askId: number;
  readonly customer: string;
  readonly loanId: number;
  readonly tokens: number;
}

/** A request to be admitted. */
export interface QuotaRequest {
  readonly requestId: string;
  readonly customer: string;
  readonly tokens: number;
  /** Time after which the request is rejected. */
  readonly deadlineAtMs: number;
}
