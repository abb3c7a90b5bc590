/** Classes of response statuses (RFC 9110, section 15). */

export const FIRST_FINAL_STATUS = 200;
const LAST_FINAL_STATUS = 599;

/**
 * Whether a status is that of a final response. Others are interim responses, or not defined.
 *
 * @example
 * isFinalStatus(103); // false
 */
export function isFinalStatus(status: number): boolean {
  return status >= FIRST_FINAL_STATUS && status <= LAST_FINAL_STATUS;
}
