//! Documents as they travel between nodes.

use std::fmt::Write;

use mintridge_node::packed::{DOCUMENT_MOST, Error, pack, unpack};

/// A document of many routes with names and paths that have nothing in common.
fn routes(count: u32) -> String {
    let mut document = String::from("[");
    for index in 0..count {
        let name = index.wrapping_mul(2_654_435_761);
        write!(
            document,
            r#"{{"name":"r-{name:08x}","prefix":"/{name:08x}/","kind":"idempotent","attempts":2}},"#
        )
        .expect("a string takes every byte");
    }
    document.push(']');
    document
}

#[test]
fn unpack_gives_back_what_was_packed() {
    let document = routes(1_940);
    let packed = pack(document.as_bytes()).expect("it packs");
    assert!(packed.len() * 4 < document.len(), "{}", packed.len());
    assert_eq!(unpack(&packed).expect("whole"), document.as_bytes());
}

#[test]
fn unpack_refuses_what_was_cut_short() {
    let packed = pack(routes(100).as_bytes()).expect("it packs");
    let cut = unpack(&packed[..packed.len() / 2]);
    assert!(matches!(cut, Err(Error::Malformed(_))), "{cut:?}");
}

/// A faulty peer sends a few kilobytes that unpack to more than any document has: the node
/// stops at the limit, long before its memory is full.
#[test]
fn unpack_stops_at_the_limit() {
    let packed = pack(&vec![0; DOCUMENT_MOST + 1]).expect("it packs");
    let refused = unpack(&packed);
    assert!(matches!(refused, Err(Error::TooLong)), "{refused:?}");
}
