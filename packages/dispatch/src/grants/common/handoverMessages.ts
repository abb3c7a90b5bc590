/** Encodes the state that homes hand over, within a number of bytes. */
import type { DescMessage, MessageShape } from '@bufbuild/protobuf';
import { create, toBinary } from '@bufbuild/protobuf';
import type { Handover, LearnedSpeed, PromisedPlace, TenantLead } from '@parsleymux/schema';
import {
  HandoverSchema,
  LearnedSpeedSchema,
  PromisedPlaceSchema,
  TenantLeadSchema,
} from '@parsleymux/schema';
import type { IDigestOrigin, IServiceDigest } from '@parsleymux/scheduling';
import {
  decodeFingerprint,
  encodeFingerprint,
} from '../../quarantine/common/quarantineMessages.js';
import { decodeBornMs, encodeBornMs } from './grantMessages.js';
import { toSint32, toUint32 } from './integerFields.js';

const MILLI = 1000;
const CENTI = 100;
/** Tag and length of an entry. */
const ENTRY_HEADER_BYTES = 3;
/** Kinds of entries, each of which gets its part of the bytes. */
const KINDS = 3;
/** Times further away are not accepted, in ms. */
const MAX_TIME_MS = 60_000;

/** The part of a message that is not its digest. */
export interface IHandoverHeader extends Omit<IDigestOrigin, 'sender'> {
  readonly service: string;
}

/**
 * Encodes a digest; drops the last entries of each kind beyond `maxBytes`.
 *
 * @example
 * channel.send(home, { case: 'handover', value: encodeHandover(header, digest, 936) });
 */
export function encodeHandover(
  { isLast, sequence, service, startedMs }: IHandoverHeader,
  digest: IServiceDigest,
  maxBytes: number,
): Handover {
  const header = { service, startedMs: BigInt(startedMs), sequence, stopping: isLast };
  const left = maxBytes - toBinary(HandoverSchema, create(HandoverSchema, header)).length;
  const places = digest.places.map(({ ageMs, inMs, key, lane }) => {
    return create(PromisedPlaceSchema, {
      tenant: lane,
      key: encodeFingerprint(key),
      inMs: toSint32(inMs),
      ageMs: toUint32(ageMs),
    });
  });
  const leads = digest.leads.map(({ lead, priority, tenant }) => {
    return create(TenantLeadSchema, {
      tenant,
      priority: toUint32(priority),
      leadMs: toUint32(lead),
    });
  });
  const speeds = digest.speeds.map(({ ageMs, bornMs, logFactor, targetId, weight }) => {
    return create(LearnedSpeedSchema, {
      targetId,
      ...encodeBornMs(bornMs),
      logFactorMilli: toSint32(logFactor * MILLI),
      weightCenti: toUint32(weight * CENTI),
      ageMs: toUint32(ageMs),
    });
  });
  return create(HandoverSchema, {
    ...header,
    ...chooseEntries(places, leads, speeds, left),
  });
}

/**
 * Decodes a digest. Entries with implausible times are dropped.
 *
 * @example
 * inbox.record(message.service, origin, decodeHandover(message), nowMs);
 */
export function decodeHandover({ leads, places, speeds }: Handover): IServiceDigest {
  return {
    places: places
      .filter(({ ageMs, inMs }) => Math.abs(inMs) <= MAX_TIME_MS && ageMs <= MAX_TIME_MS)
      .map(({ ageMs, inMs, key, tenant }) => {
        return { lane: tenant, key: decodeFingerprint(key), inMs, ageMs };
      }),
    leads: leads.map(({ leadMs, priority, tenant }) => ({ tenant, priority, lead: leadMs })),
    speeds: speeds.map(({ ageMs, bornMs, logFactorMilli, targetId, weightCenti }) => ({
      targetId,
      bornMs: decodeBornMs(bornMs),
      logFactor: logFactorMilli / MILLI,
      weight: weightCenti / CENTI,
      ageMs,
    })),
  };
}

/** Each kind has a third of the bytes; what it leaves goes to places, then to leads, then to speeds. */
function chooseEntries(
  places: readonly PromisedPlace[],
  leads: readonly TenantLead[],
  speeds: readonly LearnedSpeed[],
  maxBytes: number,
): Pick<Handover, 'places' | 'leads' | 'speeds'> {
  const part = maxBytes / KINDS;
  const fewLeads = takeUpTo(TenantLeadSchema, leads, part).bytes;
  const fewSpeeds = takeUpTo(LearnedSpeedSchema, speeds, part).bytes;
  const allPlaces = takeUpTo(PromisedPlaceSchema, places, maxBytes - fewLeads - fewSpeeds);
  const allLeads = takeUpTo(TenantLeadSchema, leads, maxBytes - allPlaces.bytes - fewSpeeds);
  const rest = maxBytes - allPlaces.bytes - allLeads.bytes;
  const allSpeeds = takeUpTo(LearnedSpeedSchema, speeds, rest);
  return { places: allPlaces.entries, leads: allLeads.entries, speeds: allSpeeds.entries };
}

function takeUpTo<T extends DescMessage>(
  schema: T,
  entries: readonly MessageShape<T>[],
  maxBytes: number,
): { readonly entries: MessageShape<T>[]; readonly bytes: number } {
  let bytes = 0;
  const taken: MessageShape<T>[] = [];
  for (const entry of entries) {
    const size = toBinary(schema, entry).length + ENTRY_HEADER_BYTES;
    if (bytes + size > maxBytes) break;
    bytes += size;
    taken.push(entry);
  }
  return { entries: taken, bytes };
}
