//! Client accounts: which account has a key, what is left out of a table, and how a request
//! presents its key.

use std::collections::HashSet;
use std::hint::black_box;
use std::time::{Duration, Instant};

use mintridge_core::account::authorization::{Finding, Presented};
use mintridge_core::account::key::Digest;
use mintridge_core::account::listing::{Entry, Field, Key, Listing, Object, Unreadable};
use mintridge_core::account::{Directory, Limit};
use mintridge_core::outcome::Reason;
use mintridge_core::route::{Document, Table};
use rstest::rstest;

fn entry(name: &str, keys: &[&str]) -> Entry {
    let keys = keys.iter().map(|key| Key(Digest::of(key)));
    Entry {
        name: Some(Field::Read(name.to_owned())),
        keys: Some(Field::Read(keys.collect())),
        ..Entry::default()
    }
}

fn directory(entries: Vec<Entry>) -> Directory {
    let entries = entries.into_iter().map(|entry| Field::Read(Object(entry)));
    Directory::new(Listing(Some(Field::Read(entries.collect()))))
}

fn name<'a>(directory: &'a Directory, key: &str) -> Option<&'a str> {
    directory.resolve(key).map(|account| &*account.name)
}

#[test]
fn resolve_returns_the_account_of_each_key() {
    let limited = Entry {
        priority: Some(Field::Read(3)),
        requests_per_second: Some(Field::Read(5.0)),
        burst: Some(Field::Read(2.0)),
        ..entry("small", &["k-3"])
    };
    let directory = directory(vec![entry("large", &["k-1", "k-2", "k-2"]), limited]);
    assert!(!directory.is_empty() && directory.faults().is_empty());
    assert_eq!(name(&directory, "k-1"), Some("large"));
    assert_eq!(name(&directory, "k-2"), Some("large"));
    assert_eq!(name(&directory, "k-4"), None);
    let small = directory.resolve("k-3").expect("an account");
    let limit = Limit {
        per_second: 5.0,
        burst: 2.0,
    };
    assert_eq!((small.priority, small.limit), (3, Some(limit)));
}

/// Guards against a table that needs no keys any more because its accounts cannot be read.
#[rstest]
#[case::absent(Listing(None), true)]
#[case::no_accounts(Listing(Some(Field::Read(Vec::new()))), true)]
#[case::not_a_list(Listing(Some(Field::Unreadable(Unreadable))), false)]
#[case::unreadable_account(
    Listing(Some(Field::Read(vec![Field::Unreadable(Unreadable)]))),
    false
)]
fn is_empty_only_without_listed_accounts(#[case] listing: Listing, #[case] expected: bool) {
    assert_eq!(Directory::new(listing).is_empty(), expected);
}

/// Guards against a request that runs on behalf of the wrong account, and against one bad account
/// that takes the others with it.
#[rstest]
#[case::empty_name(entry("", &["k-1"]))]
#[case::name_of_no_account(entry("anonymous", &["k-1"]))]
#[case::name_with_line_break(entry("a\nb", &["k-1"]))]
#[case::long_name(entry(&"a".repeat(257), &["k-1"]))]
#[case::no_keys(Entry { keys: None, ..entry("bad", &[]) })]
#[case::unreadable_keys(Entry { keys: Some(Field::Unreadable(Unreadable)), ..entry("bad", &[]) })]
#[case::unreadable_priority(Entry { priority: Some(Field::Unreadable(Unreadable)), ..entry("bad", &["k-1"]) })]
#[case::unreadable_rate(Entry { requests_per_second: Some(Field::Unreadable(Unreadable)), ..entry("bad", &["k-1"]) })]
#[case::negative_rate(Entry { requests_per_second: Some(Field::Read(-1.0)), ..entry("bad", &["k-1"]) })]
#[case::unreadable_burst(Entry { burst: Some(Field::Unreadable(Unreadable)), ..entry("bad", &["k-1"]) })]
fn new_leaves_out_an_unreadable_account_alone(#[case] bad: Entry) {
    let directory = directory(vec![bad, entry("good", &["k-2"])]);
    assert_eq!(name(&directory, "k-1"), None);
    assert_eq!(name(&directory, "k-2"), Some("good"));
    assert_eq!(directory.faults().len(), 1, "{directory:?}");
}

/// Guards against a key that passes from one account to another because the list is contradictory.
#[test]
fn new_gives_a_contested_key_and_a_contested_name_to_nobody() {
    let unreadable = Entry {
        priority: Some(Field::Unreadable(Unreadable)),
        ..entry("broken", &["k-4"])
    };
    let directory = directory(vec![
        entry("a", &["shared", "k-1"]),
        entry("b", &["shared", "k-2"]),
        entry("twice", &["k-3"]),
        entry("twice", &["k-3"]),
        unreadable,
        entry("c", &["k-4", "k-5"]),
    ]);
    let resolved = ["shared", "k-1", "k-2", "k-3", "k-4", "k-5"].map(|key| name(&directory, key));
    let expected = [None, Some("a"), Some("b"), None, None, Some("c")];
    assert_eq!(resolved, expected);
}

#[rstest]
#[case::visible("!~", true)]
#[case::longest(&"k".repeat(256), true)]
#[case::too_long(&"k".repeat(257), false)]
#[case::empty("", false)]
#[case::space("a b", false)]
#[case::not_ascii("kéy", false)]
fn new_leaves_out_an_unusable_key_alone(#[case] key: &str, #[case] usable: bool) {
    let directory = directory(vec![entry("a", &[key, "k-1"])]);
    assert_eq!(name(&directory, key).is_some(), usable);
    assert_eq!(name(&directory, "k-1"), Some("a"));
    assert_eq!(directory.faults().len(), usize::from(!usable));
}

#[rstest]
#[case::usual(&["Bearer k-1"], Finding::Resolved)]
#[case::scheme_in_other_case(&["bEARER k-1"], Finding::Resolved)]
#[case::spaces(&["Bearer   k-1"], Finding::Resolved)]
#[case::unknown(&["Bearer k-2"], Finding::Unknown)]
#[case::key_in_other_case(&["Bearer K-1"], Finding::Unknown)]
#[case::missing(&[], Finding::Missing)]
#[case::two_fields(&["Bearer k-1", "Bearer k-1"], Finding::Malformed)]
#[case::other_scheme(&["Basic k-1"], Finding::Malformed)]
#[case::longer_scheme(&["Bearers k-1"], Finding::Malformed)]
#[case::no_scheme(&["k-1"], Finding::Malformed)]
#[case::no_key(&["Bearer"], Finding::Malformed)]
#[case::empty_key(&["Bearer "], Finding::Malformed)]
#[case::two_keys(&["Bearer k-1 k-1"], Finding::Malformed)]
#[case::not_ascii(&["Bearer kéy"], Finding::Malformed)]
fn find_accepts_one_bearer_key(#[case] fields: &[&str], #[case] expected: Finding) {
    let directory = directory(vec![entry("a", &["k-1"])]);
    let presented = Presented::read(fields.iter().map(|field| field.as_bytes()));
    let (caller, finding) = presented.find(&directory);
    assert_eq!(finding, expected);
    assert_eq!(caller.account.is_some(), finding == Finding::Resolved);
    assert_eq!(caller.account.is_some(), finding == Finding::Resolved);
}

#[test]
fn read_rejects_a_key_that_is_too_long() {
    for (length, expected) in [(256, Finding::Unknown), (257, Finding::Malformed)] {
        let field = format!("Bearer {}", "k".repeat(length));
        let presented = Presented::read([field.as_bytes()].into_iter());
        assert_eq!(presented.find(&Directory::default()).1, expected);
    }
}

/// Guards against a caller who is told that its key is wrong while a newer table may have the key.
#[test]
fn refusal_is_unauthorized_only_with_a_verified_table() {
    assert_eq!(Finding::Resolved.refusal(false), None);
    for finding in [Finding::Unknown, Finding::Missing, Finding::Malformed] {
        assert_eq!(finding.refusal(true), Some(Reason::Unauthorized));
        assert_eq!(finding.refusal(false), Some(Reason::Unverified));
    }
}

/// Guards against a route that outranks a more urgent account.
#[test]
fn rank_puts_the_account_before_the_route() {
    let with_priority = |name, key, priority| Entry {
        priority: Some(Field::Read(priority)),
        ..entry(name, &[key])
    };
    let directory = directory(vec![
        with_priority("urgent", "k-1", 1),
        with_priority("least", "k-2", 400),
    ]);
    let account = |key| directory.resolve(key).map(|account| &**account);
    assert_eq!(directory.rank(account("k-1"), 2), 18);
    assert_eq!(directory.rank(account("k-1"), 200), 31);
    assert_eq!(directory.rank(account("k-2"), 200), 255);
    assert_eq!(directory.rank(None, 2), 18);
    assert_eq!(Directory::default().rank(None, 200), 200);
}

/// Guards against keys in the debug log, where the contents of a new table are written.
#[test]
fn debug_shows_neither_keys_nor_the_packed_document() {
    let document = Document {
        table: Table {
            accounts: directory(vec![entry("large", &["secret-key"])]),
            ..Table::default()
        },
        packed: [123; 50].into(),
    };
    let text = format!("{document:?}");
    assert!(text.contains("large"), "{text}");
    let digest = blake3::hash(b"secret-key");
    let digest_hex = digest.to_hex();
    assert!(!text.contains("secret-key") && !text.contains(digest_hex.as_str()));
    assert!(!text.contains("123, 123") && !text.contains(&format!("{:?}", digest.as_bytes())));
}

/// Guards against a look-up that walks over all keys. 100,000 keys are 1,000 times as many as 100;
/// a factor of 20 leaves room for cache misses and for other processes of the machine.
#[test]
fn resolve_takes_no_longer_with_many_keys() {
    let small = measure(100);
    let large = measure(100_000);
    println!("time per look-up: {small:?} of 100 keys, {large:?} of 100,000");
    assert!(large < 20 * small, "{large:?} is over 20 times {small:?}");
}

/// Returns the shortest mean time of a look-up among several rounds.
fn measure(count: usize) -> Duration {
    const LOOKUPS: u32 = 20_000;
    let keys: Vec<String> = (0..count).map(|index| format!("key-{index:08}")).collect();
    let entries = keys.chunks(10).enumerate().map(|(index, keys)| {
        let keys: Vec<&str> = keys.iter().map(String::as_str).collect();
        entry(&format!("account-{index}"), &keys)
    });
    let directory = directory(entries.collect());
    let names: HashSet<_> = keys
        .iter()
        .filter_map(|key| name(&directory, key))
        .collect();
    assert_eq!(names.len(), count.div_ceil(10));
    let round = || {
        let started_at = Instant::now();
        for key in keys.iter().cycle().step_by(7).take(LOOKUPS as usize) {
            black_box(directory.resolve(black_box(key)));
        }
        started_at.elapsed() / LOOKUPS
    };
    (0..5).map(|_| round()).min().unwrap_or_default()
}
