//! Guards against a trace that misses lines of a chain or includes lines of another call.

use std::path::Path;

use expect_test::expect;

use super::{read_steps, render};

const ENTRY_LOG: &str = r#"  -7.1 vm-a {"timestamp":"T1","level":"INFO","message":"","kvs":{"event":"started","vm":"vm-a"}}
   3.2 vm-a {"timestamp":"T3","level":"INFO","message":"","kvs":{"event":"call_refused","id":"7f","status":503,"reason":"NotRun(Late)"}}
   3.3 vm-a {"timestamp":"T4","level":"INFO","message":"","kvs":{"event":"call_refused","id":"7f80","status":503}}
no JSON
"#;

const GATE_LOG: &str = r#"{"timestamp":"T2","level":"INFO","message":"late","kvs":{"event":"gate_refused","id":"7f.81","left_ms":4}}
"#;

#[test]
fn lines_of_the_call_and_its_nested_calls_are_found() {
    let mut steps = read_steps(Path::new("a.log"), ENTRY_LOG, "7f");
    steps.extend(read_steps(Path::new("b.log"), GATE_LOG, "7f"));
    steps.sort_by(|a, b| a.time.cmp(&b.time));
    expect![[r"
        T2 b.log gate_refused 7f.81 left_ms=4 message=late
        T3 vm-a call_refused 7f reason=NotRun(Late) status=503
    "]]
    .assert_eq(&render(&steps));
}
