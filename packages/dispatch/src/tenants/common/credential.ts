/** A caller's credential before it is looked up. */
import type { ResultCode } from '@parsleymux/base';

/** The digest of a key, or the result code for a missing or malformed one. */
export type Credential =
  | { readonly kind: 'key'; readonly digest: string }
  | { readonly kind: 'unusable'; readonly code: ResultCode };
