"""Cases in which a promise of the fault soak is broken, by its check."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from itertools import repeat
from types import MappingProxyType

import soak_records as records

from pimentohoist_standins._soak.records import Observations

BROKEN: Mapping[str, dict[str, Observations]] = MappingProxyType(
    {
        'lost_at_stop': {
            'sent 2.9 s after SIGTERM, cut before the last sixth': records.attempt_cut_at_stop(
                102.9, 106.6, {}
            ),
            'paused long before and long after': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}),
                replace(records.PAUSE, began_at=90, ended_at=91),
                records.LATER_PAUSE,
            ),
            'its run has never ended': records.attempt_cut_at_stop(
                103.1, 108, {'ended_at': None}
            ),
            'unsafe while the links of the store are cut': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}, **records.UNSAFE),
                records.fault_record('link_cut', 'store', 101, 106),
            ),
            'sent 6.3 s after SIGTERM, cut by the kill': records.attempt_cut_at_stop(
                106.3, 108, {}
            ),
            'sent 3.1 s after SIGTERM, cut by the kill': records.attempt_cut_at_stop(
                103.1, 108, {}
            ),
            'sent 2.9 s after SIGTERM, cut 5 s after it': records.attempt_cut_at_stop(
                102.9, 105, {}
            ),
            'closed 0.3 s after its last byte': records.attempt_cut_at_stop(104, 104.3),
            'cut after one engine broke off': records.attempt_cut_at_stop(
                104, 105, records.BROKEN_OFF, {}
            ),
            'unsafe while the store is down': records.with_faults(
                records.attempt_cut_at_stop(104, 105, {}, **records.UNSAFE),
                records.STORE_DOWN,
            ),
            'another daemon paused': records.with_faults(
                records.combined_attempts(
                    records.attempt_cut_at_stop(104, 105, {}),
                    records.attempt({}, daemon='front-2'),
                ),
                replace(records.PAUSE, target='front-2'),
            ),
        },
        'lost_at_reload': {
            'sent before SIGHUP': records.with_faults(
                records.cut_attempt(99, 101, {}), records.HUP
            )
        },
        'lost_at_configuration': {
            'never acknowledged': records.with_configurations(
                (records.CONFIGURATION, replace(records.SECOND, acknowledged_at=None)),
                records.cut_attempt(49, 51, {}),
            ),
            'cut 1 s after': records.with_configurations(
                records.NEW_ROUTES, records.cut_attempt(49, 51, {})
            ),
            'its run has no end, its engine lives': records.with_configurations(
                records.NEW_ROUTES, records.ENDLESS_CUT
            ),
            'its engine was killed before its run': records.with_faults(
                records.with_configurations(records.NEW_ROUTES, records.ENDLESS_CUT),
                records.fault_record('engine_crash', 'engine-1', 48, 48.5),
            ),
            'its engine had left before': records.with_faults(
                records.with_configurations(records.NEW_ROUTES, records.ENDLESS_CUT),
                records.fault_record('engine_leaves', 'engine-1', 46, 48.5),
            ),
            'another engine was killed': records.with_faults(
                records.with_configurations(records.NEW_ROUTES, records.ENDLESS_CUT),
                records.fault_record('engine_crash', 'engine-2', 50.9, 55),
            ),
            'its run had ended when its engine was killed': records.with_faults(
                records.with_configurations(
                    records.NEW_ROUTES, records.cut_attempt(49, 51, {})
                ),
                records.fault_record('engine_crash', 'engine-1', 50.9, 55),
            ),
        },
        'kept_connections': {
            'closed four times': records.combined_attempts(*repeat(records.KEPT_CUT, 4))
        },
        'gone_before_kill': {
            'another daemon paused': records.observed(
                [],
                [],
                [records.fault_record('pause', 'front-2', 101)],
                processes=(records.KILLED,),
            ),
            'a link slow': records.observed(
                [],
                [],
                [records.fault_record('link_slow', 'front-1', 101)],
                processes=(records.KILLED,),
            ),
            'killed after the grace period': records.observed(
                processes=(records.KILLED,)
            ),
            'outlives the grace period': records.process_with_faults(signalled_at=100),
            'paused only before SIGTERM': records.with_faults(
                records.observed(processes=(records.KILLED,)),
                records.fault_record('pause', 'front-1', 90, 99),
            ),
        },
        'exit_codes': {
            'code 1': records.observed(
                processes=(replace(records.STOPPED, exit_code=1),)
            ),
            'ended by itself': records.process_with_faults(ended_at=100, exit_code=0),
        },
        'ready_after_start': {
            'ready after 6 s': records.process_with_faults(ready_at=6),
            'never ready': records.process_with_faults(ready_at=None),
            'ready 6 s after a kill': records.observed(
                processes=records.RESTARTED_AFTER_KILL
            ),
        },
        'runs_once': {
            'unsafe at two engines': records.attempt(
                {}, {'endpoint': 'engine-2'}, **records.UNSAFE
            ),
            'a stream at one engine twice': records.attempt(records.BROKEN_OFF, {}),
        },
        'true_refusals': {
            '503 after a broken run': records.refused_attempt(503, records.BROKEN_OFF),
            '429, runs later': records.refused_attempt(429, {'arrived_at': 106}),
            '503 after a run and a refusal': records.refused_attempt(
                503, records.FAILED, records.REFUSED, **records.SAFE
            ),
        },
        'runs_asked_for': {
            'unknown id': records.observed([], [records.RUN]),
            'other adapter': records.attempt({'adapter': 'other'}),
        },
        'keys_stay_inside': {'key passed on': records.attempt({'has_key': True})},
        'workspace_of_key': {
            'other workspace': records.attempt({'workspace': 'office'}),
            'key never configured': records.attempt({}, key='key-9'),
        },
        'group_of_route': {
            'other group': records.attempt({'group': 'group-9'}),
            'route never configured': records.attempt({}, route='look'),
            'before its configuration was sent': records.with_configurations(
                (records.CONFIGURATION, replace(records.MOVED[1], sent_at=100.5)),
                records.attempt(records.AT_SECOND),
            ),
        },
        'drain': {
            '10 s after': records.attempt_at_leaving_engine({}),
            'refused as full': records.attempt_at_leaving_engine(
                {'status': 503, **records.REFUSED}
            ),
        },
        'configuration_in_force': {
            'withdrawn key answered without a run': records.with_configurations(
                records.NEW_KEYS, records.attempt()
            ),
            'withdrawn key served': records.with_configurations(
                records.NEW_KEYS, records.attempt({})
            ),
            'new key refused': records.with_configurations(
                records.NEW_KEYS, records.refused_attempt(401, key='key-2')
            ),
            'new route unknown': records.with_configurations(
                records.NEW_ROUTES, records.refused_attempt(404, route='look')
            ),
            'old group': records.with_configurations(
                records.MOVED, records.attempt({})
            ),
            'former holder': records.with_configurations(
                records.OTHER_HOLDER, records.attempt({})
            ),
        },
        'no_rollback': {
            'in a process that ends later': replace(
                records.requests_after_move(51.4),
                processes=(replace(records.PROCESS, ended_at=150),),
            ),
            'old group sent 0.4 s after the new': records.requests_after_move(51.4),
        },
        'whole_successes': {
            'no seal': records.attempt({}, has_seal=False),
            'whole though its run broke off': records.attempt(records.BROKEN_OFF),
        },
        'sealed_failures': {
            'other status': records.attempt(
                {'status': 404, **records.FAILED}, status=500
            )
        },
        'event_order': {
            'gap': records.attempt({}, events=(1, 3)),
            'no first event': records.attempt({}, events=(2, 3)),
            'doubled': records.attempt({}, events=(1, 2, 2, 3)),
            'whole without the last event': records.attempt({}, events=(1, 2)),
            'joined wrongly': records.attempt(
                records.BROKEN_OFF,
                records.RESUMED,
                **records.RESUMABLE,
                events=(1, 3, 3),
            ),
        },
        'resumptions': {
            'resumed from nothing': records.attempt({'last_event_id': 2}, events=(3,)),
            'not allowed': records.attempt(records.BROKEN_OFF, records.RESUMED),
            'begun anew later': records.attempt(
                {}, records.RESUMED, {'arrived_at': 102}, **records.RESUMABLE
            ),
        },
        'resumed_runs_apart': {
            'both at work': records.attempt(
                {'ended_at': 102}, records.RESUMED, **records.RESUMABLE
            ),
            'long before the leave ends': records.with_faults(
                records.attempt(
                    {'ended_at': None}, records.RESUMED, **records.RESUMABLE
                ),
                records.fault_record('engine_leaves', 'engine-1', 99, 104),
            ),
        },
        'one_software_version': {
            'went on at another': records.attempt(
                {}, {**records.RESUMED, 'software_version': 'v2'}, **records.RESUMABLE
            )
        },
        'answers_in_time': {'0.6 s late': records.attempt({}, timeout_s=0.39)},
        'cancellations': {
            'goes on for 2 s': records.cut_attempt(
                100, 101, {'ended_at': 103}, **records.LEFT
            ),
            'never ends': records.cut_attempt(
                100, 101, {'ended_at': None}, **records.LEFT
            ),
            'begins 1 s later': records.cut_attempt(
                100,
                101,
                {'arrived_at': 102, 'ended_at': 102.1},
                **records.LEFT,
                **records.SAFE,
            ),
        },
        'adapter_slots': {'5 in 4': records.orders({'held': 5})},
        'one_holder_per_fence': {
            'two holders': records.orders({}, {'holder': 'front-2'})
        },
        'fences_rise': {
            'lower obeyed': records.orders({}, {'fence': 4, 'arrived_at': 101})
        },
        'quotas': {
            'one token over': records.two_requests_of_tokens(
                records.SLACK_TOKENS - 499
            ),
            'over a quota lowered long ago': records.with_configurations(
                (records.QUOTA, records.LOW_QUOTA),
                records.two_requests_of_tokens(records.SLACK_TOKENS - 500),
            ),
        },
        'retry_budget': {
            '75 repeats': records.repeated_request(75),
            'requests 21 s before': records.repeated_request(55, requests_at=79),
            'requests after the window': records.repeated_request(55, requests_at=112),
        },
        'served_without_links': {
            '20 of 40, others all': records.callers_without_links(20, 20),
        },
        'served_after_loss': {
            '9 of 40': records.callers_after_loss(9, 31),
            'nobody': records.callers_after_loss(0, 24),
        },
        'falls_of_brittle': {
            '3 falls of 4': records.falls_of_brittle_engines(98.5, 101, 104),
            '3 falls of the only one': records.falls_of_brittle_engines(
                98.5, 101, 104, endpoints=1
            ),
        },
        'runs_through_pauses': {
            'as it goes on': records.run_at_paused_engine(101.6),
            'during the pause': records.run_at_paused_engine(),
        },
        'endpoint_limits': {'24 in 4 s': records.requests_at_limited_engine(24)},
    }
)
