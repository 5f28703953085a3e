/** Status codes of HTTP responses (RFC 9110, section 15). */

const MIN_FINAL_STATUS = 200;
const MAX_STATUS = 599;

/** Whether a status code is that of a valid final response. Parsers also accept 000 and 999. */
export function isFinalStatus(status: number): boolean {
  return status >= MIN_FINAL_STATUS && status <= MAX_STATUS;
}
