/** `bilberrystand status` and `explain`: query daemons. */
import { defineCommand } from 'citty';
import * as undici from 'undici';
import * as errors from '../../core/errors/index.js';
import { ExitCode, jsonArg, printFailure, printJson } from '../shared/index.js';

interface Member {
  readonly vm: string;
  readonly dataCentre: string;
  readonly revision: number;
  readonly stewardEpoch: number;
  readonly lender: boolean;
  readonly leaving: boolean;
}

interface Status {
  readonly self: Member;
  readonly members: readonly Member[];
  readonly engines: readonly {
    readonly engineId: string;
    readonly dataCentre: string;
    readonly targets: readonly string[];
    readonly load: number;
    readonly slots: number;
  }[];
  readonly waiting: { readonly tokens: number; readonly engine: number };
  readonly active: number;
}

interface RequestTrace {
  readonly steps: readonly {
    readonly atMs: number;
    readonly step: string;
    readonly fields: Readonly<Record<string, unknown>>;
  }[];
}

const adminArg = {
  type: 'string',
  required: true,
  description: "Address of a daemon's admin port; separate several with commas.",
} as const;

async function fetchJson<T>(address: string, path: string): Promise<T | null> {
  try {
    const { statusCode, body } = await undici.request(`http://${address}${path}`);
    const value = (await body.json()) as T;
    return statusCode === 200 ? value : null;
  } catch (err) {
    const { BackendFailed } = errors.data;
    printFailure(
      errors.createFailure(BackendFailed, 'query daemon', address, errors.describe(err)),
    );
    return null;
  }
}

function printMember({ vm, dataCentre, revision, stewardEpoch, lender, leaving }: Member): void {
  const roles = [
    ...(stewardEpoch > 0 ? [`steward (epoch ${stewardEpoch})`] : []),
    ...(lender ? ['lender'] : []),
    ...(leaving ? ['leaving'] : []),
  ];
  console.log(`  ${vm}  ${dataCentre}  revision ${revision}  ${roles.join(', ')}`);
}

export const statusCommand = defineCommand({
  meta: { name: 'status', description: 'Show the fleet as known to a daemon.' },
  args: { admin: adminArg, json: jsonArg },
  async run({ args }) {
    const status = await fetchJson<Status>(args.admin, '/status');
    if (status === null) return;
    if (args.json) {
      printJson(status);
      return;
    }
    console.log('entry VMs');
    [status.self, ...status.members].forEach(printMember);
    console.log('engines');
    status.engines.forEach(({ engineId, dataCentre, targets, load, slots }) => {
      console.log(`  ${engineId}  ${dataCentre}  load ${load}/${slots}  ${targets.join(' ')}`);
    });
    const { tokens, engine } = status.waiting;
    console.log(`active ${status.active}, waiting for tokens ${tokens}, for an engine ${engine}`);
  },
});

export const explainCommand = defineCommand({
  meta: { name: 'explain', description: 'Show what happened to a request.' },
  args: {
    id: { type: 'positional', required: true, description: 'Request id (x-request-id).' },
    admin: adminArg,
    json: jsonArg,
  },
  async run({ args }) {
    const path = `/explain/${encodeURIComponent(args.id)}`;
    const responses = await Promise.all(
      args.admin.split(',').map((address) => fetchJson<RequestTrace>(address, path)),
    );
    const steps = responses.flatMap((response) => response?.steps ?? []);
    if (args.json) printJson(steps);
    else {
      steps.forEach(({ atMs, step, fields }) => {
        console.log(`${new Date(atMs).toISOString()}  ${step}  ${JSON.stringify(fields)}`);
      });
    }
    if (steps.length === 0) process.exitCode = ExitCode.failed;
  },
});
