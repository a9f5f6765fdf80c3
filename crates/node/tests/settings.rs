//! Settings files: errors name the invalid value, and the examples are valid.

use std::fs;
use std::path::{Path, PathBuf};

use mintridge_node::settings::{Settings, load};
use rstest::rstest;

fn write_settings(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!(
        "mintridge-settings-{}-{name}.json",
        std::process::id()
    ));
    fs::write(&path, text).expect("written");
    path
}

/// The required settings; replaces `SELF` in the cases.
const REQUIRED: &str = "host: 'a', availability_zone: 'z'";

#[rstest]
#[case::unknown_key("unknown", "{ SELF,\n retry: { attemps: 3 } }", &[":2:", "retry.attemps", "`attempts`"])]
#[case::wrong_type("type", "{ SELF,\n\n gate: { pause_noticed: 'soon' } }", &[":3:", "gate.pause_noticed", "soon"])]
#[case::out_of_range("range", "{ SELF, retry: { attempts: 0 } }", &["retry.attempts", "0", "1 to 1000000"])]
#[case::required("required", "{ host: 'a' }", &["availability_zone"])]
#[case::not_json("syntax", "{ host: ", &[":1:", "EOF"])]
fn load_error_names_invalid_value(#[case] name: &str, #[case] text: &str, #[case] parts: &[&str]) {
    let path = write_settings(name, &text.replace("SELF", REQUIRED));
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
fn load_accepts_comments_and_fills_in_defaults() {
    let path = write_settings(
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
fn load_accepts_every_example() {
    let examples = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let mut loaded = 0;
    for deployment in ["presse-maurice", "wisla"] {
        for entry in fs::read_dir(examples.join(deployment)).expect("examples") {
            load(&entry.expect("an entry").path()).expect("a good example");
            loaded += 1;
        }
    }
    assert_eq!(loaded, 12 + 11);
}

/// The settings page documents every key with the default defined in the code.
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
