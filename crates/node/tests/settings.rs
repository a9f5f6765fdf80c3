//! Settings files: what is wrong is named, and the examples work.

use std::fs;
use std::path::{Path, PathBuf};

use mintridge_node::settings::{Settings, load};
use rstest::rstest;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "mintridge-settings-{}-{name}.json",
        std::process::id()
    ));
    fs::write(&path, text).expect("written");
    path
}

const GOOD: &str = "host: 'a', availability_zone: 'z'";

#[rstest]
#[case::unknown_key("unknown", "{ SELF,\n retry: { attemps: 3 } }", &[":2:", "retry.attemps", "`attempts`"])]
#[case::wrong_type("type", "{ SELF,\n\n gate: { pause_noticed: 'soon' } }", &[":3:", "gate.pause_noticed", "soon"])]
#[case::out_of_range("range", "{ SELF, retry: { attempts: 0 } }", &["retry.attempts", "0", "1 to 1000000"])]
#[case::required("required", "{ host: 'a' }", &["availability_zone"])]
#[case::not_json("syntax", "{ host: ", &[":1:", "EOF"])]
fn load_names_what_is_wrong(#[case] name: &str, #[case] text: &str, #[case] parts: &[&str]) {
    let path = file(name, &text.replace("SELF", GOOD));
    let error = load(&path)
        .expect_err("refused")
        .current_context()
        .to_string();
    let _ = fs::remove_file(&path);
    assert!(error.contains(&path.display().to_string()), "{error}");
    for part in parts {
        assert!(error.contains(part), "{part} in: {error}");
    }
}

#[test]
fn load_takes_comments_and_fills_in_defaults() {
    let path = file(
        "good",
        "{ // a comment\n host: 'a', /* and one */ availability_zone: 'z' }",
    );
    let loaded = load(&path).expect("good");
    let _ = fs::remove_file(&path);
    let expected = Settings {
        host: "a".into(),
        availability_zone: "z".into(),
        ..Settings::default()
    };
    assert_eq!(loaded, expected);
}

#[test]
fn load_takes_every_example() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut taken = 0;
    for deployment in ["presse-maurice", "wisla"] {
        for entry in fs::read_dir(examples.join(deployment)).expect("examples") {
            load(&entry.expect("an entry").path()).expect("a good example");
            taken += 1;
        }
    }
    assert_eq!(taken, 12 + 11);
}

/// The page of settings names every key with the default that the code has.
#[test]
fn defaults_are_as_documented() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/SETTINGS.md");
    let page = fs::read_to_string(page).expect("the page");
    let defaults = serde_json::to_value(Settings::default()).expect("written");
    let sections = defaults.as_object().expect("sections");
    for (section, keys) in sections {
        let Some(keys) = keys.as_object() else {
            assert!(page.contains(&format!("| `{section}` |")), "{section}");
            continue;
        };
        for (key, value) in keys {
            let row = format!("| `{section}.{key}` | `{value}` |");
            assert!(page.contains(&row), "not documented: {row}");
        }
    }
}
