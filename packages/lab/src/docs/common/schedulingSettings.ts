/** The part of the settings page on the optional parts of the scheduling. */

/** Markdown of the section `scheduling`, which a node on the users' platform reads. */
export const SCHEDULING_SETTINGS = `## Optional parts of the scheduling

A node on the users' platform reads its settings from the file that the platform writes, rendered from
\`deploy/settings.tmpl\`: the platform's fields under \`machine\`, the product's under \`scheduling\`. A part
that is not enabled changes no decision. An unknown field or an invalid value is rejected by its path,
such as \`scheduling.fairness.enabled: expected true or false\`; at the start the node waits for a valid
file, later the previous settings stay in force.

| field                               | type          | default | limits             | meaning                                                                                       |
| ----------------------------------- | ------------- | ------- | ------------------ | --------------------------------------------------------------------------------------------- |
| \`scheduling.fairness.enabled\`       | true or false | false   |                    | Divides the slots of a service between the tenants that wait. Takes effect at the start.      |
| \`scheduling.fairness.weights\`       | numbers       | empty   | 0.001 to 1000000   | Weight by tenant. Default: the rate of its quota, in requests per second.                     |
| \`scheduling.returns.enabled\`        | true or false | false   |                    | Tells refused callers to return one after the other, and keeps room for them.                 |
| \`scheduling.admission.enabled\`      | true or false | false   |                    | Refuses at arrival what can't be in time, and orders the queue by the latest start.           |
| \`scheduling.admission.lateCredit\`   | number        | 0.7     | 0 to 1             | Credit of a response after the objective, relative to one within it. Applies in any case.     |
| \`scheduling.admission.lateCredits\`  | numbers       | empty   | 0 to 1             | The same by route, for routes that differ. Applies in any case.                               |
| \`scheduling.rejections.enabled\`     | true or false | false   |                    | Tells rejections by cause and divides the retry allowance. Takes effect at the start.         |
| \`scheduling.speeds.enabled\`         | true or false | false   |                    | Learns the speed and the concurrency of each target. Takes effect at the start.               |
| \`scheduling.handover.enabled\`       | true or false | false   |                    | Homes send digests of shares, promised places and speeds to the homes that would take over.   |

Pages: [fair shares](design/fair-shares.md), [return times](design/return-times.md), [admission](design/admission.md),
[rejections](design/rejections.md), [target capacity](design/target-capacity.md), [handover](design/handover.md).`;
