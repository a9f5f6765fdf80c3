//! The cause of a failed request, found by its id in log lines of nodes.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output};

use rstest::rstest;

fn file(name: &str, lines: &[&str]) -> PathBuf {
    let name = format!("mintridge-explain-{}-{name}", std::process::id());
    let path = std::env::temp_dir().join(name);
    let mut file = fs::File::create(&path).expect("created");
    for line in lines {
        writeln!(file, "{line}").expect("written");
    }
    path
}

fn explain(request: &str, files: &[PathBuf]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_mintridge"))
        .args(["explain", request])
        .args(files)
        .output()
        .expect("it runs")
}

const ENTRY: [&str; 3] = [
    r#"{"timestamp":"2026-01-12T08:00:02.000+00:00","level":"INFO","target":"n","message":"attempt","kvs":{"request":"r-1","attempt":1,"to":"host-2","known_age_ms":40,"known_named_limit":"","known_leaving":true,"outcome":"late"},"diags":{"host":"host-1"}}"#,
    r#"collector: {"timestamp":"2026-01-12T08:00:04.000+00:00","level":"INFO","target":"n","message":"request","kvs":{"request":"r-1","status":502,"outcome":"link-lost"},"diags":{"host":"host-1"}}"#,
    "not a line of a node",
];
const GUARD: [&str; 2] = [
    r#"{"timestamp":"2026-01-12T08:00:01.000+00:00","level":"INFO","target":"n","message":"refused beside the upstream","kvs":{"request":"r-1","reason":"late","queued":9,"named_limit":"5.8","states_leaving":false},"diags":{"host":"host-2"}}"#,
    r#"{"timestamp":"2026-01-12T08:00:01.500+00:00","level":"INFO","target":"n","message":"refused beside the upstream","kvs":{"request":"r-2","reason":"busy"},"diags":{"host":"host-2"}}"#,
];

/// One node refused a request and the link to another broke. The lines of both files must be sorted
/// by time, lines of other requests omitted, and the outcome logged by the entry node explained.
#[test]
fn explain_joins_files_in_order_of_time() {
    let files = [file("entry", &ENTRY), file("guard", &GUARD)];
    let output = explain("r-1", &files);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    let refused = text.find("refused beside the upstream").expect("printed");
    let attempt = text.find("outcome=late").expect("printed");
    assert!(refused < attempt, "{text}");
    assert!(!text.contains("busy"), "{text}");
    assert!(text.contains("cause: link-lost (502)"), "{text}");
    assert!(text.contains("it may have run"), "{text}");
    for statement in [
        "named a limit of 5.8 requests per second",
        "stated that it is leaving",
    ] {
        let line = format!("stated: the upstream of host-2 {statement}");
        assert!(text.contains(&line), "{text}");
    }
    assert!(text.contains("1 lines could not be read"), "{text}");
    for file in files {
        let _ = fs::remove_file(file);
    }
}

#[rstest]
#[case::no_such_request("r-9", true)]
#[case::no_such_file("r-1", false)]
fn explain_fails_with_a_reason(#[case] request: &str, #[case] exists: bool) {
    let written = file(request, &ENTRY);
    let path = if exists {
        written.clone()
    } else {
        PathBuf::from("/nowhere/at/all")
    };
    let output = explain(request, &[path]);
    let _ = fs::remove_file(written);
    assert_eq!(output.status.code(), Some(1));
    assert!(!output.stderr.is_empty());
}
