/** Generates the request traces that `npm run measure` replays. */
import { writeTrace } from '../src/lab/measure/files.js';
import { createTrace, TRACE_PARAMS } from '../src/lab/measure/traces.js';

TRACE_PARAMS.forEach((shape) => {
  const trace = createTrace(shape);
  writeTrace(trace);
  console.log(`${shape.name}: ${trace.requests.length} requests`);
});
