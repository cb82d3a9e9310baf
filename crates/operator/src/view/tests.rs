use expect_test::expect;
use policy::burn::{Counts, Window};

use super::*;
use crate::message::{CallInfo, CustomerInfo, KindInfo, MemberInfo, MemberState, ServiceStatus};

fn member(vm: &str, state: MemberState) -> MemberInfo {
    MemberInfo {
        vm: vm.into(),
        data_centre: "chia".into(),
        address: "10.0.0.7:7400".into(),
        incarnation: 1,
        state,
        revision: 12,
        services: vec!["despacho".into(), "cuentas".into()],
    }
}

/// Guards against misaligned columns, and against control characters of names that reach the
/// operator's terminal.
#[test]
fn tables_are_aligned_and_printable() {
    let members_reply = MembersReply {
        members: vec![
            member("vm-2", MemberState::Unreachable),
            member("v\u{1b}", MemberState::Alive),
        ],
    };
    let change = ChangeInfo {
        revision: 12,
        edit: "e".into(),
        author: "Ana Rojas".into(),
        reason: "frost week".into(),
        time_ms: 1_767_225_600_000,
        rules: ["a", "b", "c", "d"]
            .map(|name| format!("kind:{name}"))
            .into(),
        more: 2,
    };
    let history_reply = HistoryReply {
        changes: vec![change],
    };
    let status_reply = StatusReply {
        vm: "vm-1".into(),
        data_centre: "chia".into(),
        uptime_ms: 3_723_456,
        platform_age_ms: Some(250),
        services: vec![ServiceStatus {
            service: "despacho".into(),
            slots: 35,
            limit: 30,
            running: 12,
            queued: 4,
            level_rank: 4,
            level_bucket: 100,
        }],
        ..StatusReply::default()
    };
    let counters = [("calls.good".to_owned(), 7)].into();
    let text = [
        members(&members_reply),
        history(&history_reply),
        status(&status_reply),
        metrics(&MetricsReply { counters }),
        drain(&DrainReply::default()),
    ];
    expect![[r"
        DATA CENTRE  VM    STATE        RULES  ADDRESS        SERVICES
        chia         v�    alive        12     10.0.0.7:7400  despacho,cuentas
        chia         vm-2  unreachable  12     10.0.0.7:7400  despacho,cuentas

        REVISION  TIME                  AUTHOR     RULES                              REASON
        12        2026-01-01T00:00:00Z  Ana Rojas  kind:a, kind:b, kind:c and 3 more  frost week

        vm        vm-1 in chia
        version   
        up        1h 2m 3s
        ready     no
        draining  no
        rules     revision 0
        platform  answered 250ms ago
        members   0 alive, 0 doubtful
        homes     0 owned, 0 as successor
        tickets   0

        SERVICE   SLOTS  LIMIT  RUNNING  QUEUED  LEVEL
        despacho  35     30     12       4       4.100

        COUNTER     VALUE
        calls.good  7

         is draining: 0 calls running, 0 home slots to hand over
    "]]
    .assert_eq(&text.join("\n"));
}

/// Guards against an explanation without the rule that applied or the person who asked for it.
#[test]
fn explanations_name_the_rule_and_who_asked() {
    let reply = ExplainReply {
        revision: 12,
        customer: Some(CustomerInfo {
            customer: "rosas".into(),
            weight: 20,
            line: 9,
            asked_by: "asked by Luis".into(),
        }),
        kinds: vec![KindInfo {
            kind: "booking".into(),
            service: "despacho".into(),
            rank: 0,
            deadline_ms: 1_500,
            floor_percent: 30,
            extra_attempts: 2,
            idempotent: false,
            line: 3,
            asked_by: "asked by Ana".into(),
            admitted: Some(true),
        }],
        call: Some(CallInfo {
            call: "2a".into(),
            time_ms: 0,
            kind: "tide".into(),
            customer: "ro\nsas".into(),
            rank: 7,
            outcome: "level".into(),
            ran: "not-run".into(),
            line: 0,
            asked_by: "built-in default".into(),
            detail: "vitrina admits 4.100".into(),
        }),
    };
    let window = Window {
        counts: Counts {
            good: 90,
            refused: 9,
            late: 1,
            failed: 0,
        },
        burn: 10.0,
    };
    let row = Row {
        name: "booking".into(),
        target_percent: 99.0,
        short: window,
        long: window,
    };
    let burn = Report {
        kinds: vec![row],
        ..Report::default()
    };
    let report_reply = ReportReply {
        vm: "vm-1".into(),
        burn,
    };
    expect![[r"
        rules of revision 12
        call 2a at 1970-01-01T00:00:00Z: level (not-run), kind tide, rank 7, customer ro�sas, built-in default: vitrina admits 4.100
        customer rosas: weight 20, line 9, asked by Luis
        KIND     SERVICE   RANK  DEADLINE MS  FLOOR %  EXTRA  IDEMPOTENT  ADMITTED  WHY
        booking  despacho  0     1500         30       2      no          yes       line 3, asked by Ana

        calls that entered at vm-1; burn 1 spends the error budget exactly

        KIND     TARGET %  BURN 5MIN  BURN 1H  GOOD 5MIN  REFUSED  LATE  FAILED
        booking  99.00     10.00      10.00    90         9        1     0

        RANK  TARGET %  BURN 5MIN  BURN 1H  GOOD 5MIN  REFUSED  LATE  FAILED

        CUSTOMER  TARGET %  BURN 5MIN  BURN 1H  GOOD 5MIN  REFUSED  LATE  FAILED
    "]].assert_eq(&[explain(&reply), report(&report_reply)].join("\n"));
}
