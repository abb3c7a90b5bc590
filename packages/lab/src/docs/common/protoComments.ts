/**
 * Reads the field comments of a .proto file. The generated descriptors have no comments, and copies of
 * the comments in field options would diverge from them.
 */

const MESSAGE = /^message (\w+) \{/;
const FIELD = /^(?:optional |repeated )?[\w.]+ (\w+) = \d+/;
const COMMENT = /^\/\/ ?(.*)$/;

/**
 * Returns the comment of each field, keyed by `Message.field_name`.
 *
 * @example
 * readFieldComments(text).get('Limits.header_bytes');
 */
export function readFieldComments(text: string): ReadonlyMap<string, string> {
  const comments = new Map<string, string>();
  let message = '';
  let pending: string[] = [];
  for (const line of text.split('\n').map((raw) => raw.trim())) {
    const comment = COMMENT.exec(line)?.[1];
    if (comment !== undefined) {
      pending.push(comment);
      continue;
    }
    message = MESSAGE.exec(line)?.[1] ?? message;
    const field = FIELD.exec(line)?.[1];
    if (field !== undefined && pending.length > 0) {
      comments.set(`${message}.${field}`, pending.join(' '));
    }
    pending = [];
  }
  return comments;
}
