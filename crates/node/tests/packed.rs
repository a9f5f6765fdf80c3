//! Compression of documents that are sent between nodes.

use std::fmt::Write;

use mintridge_node::packed::{Error, MAX_DOCUMENT_BYTES, pack, unpack};

/// A document of `count` routes with unrelated names and paths.
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
fn unpack_restores_the_document() {
    let document = routes(1_940);
    let packed = pack(document.as_bytes()).expect("it packs");
    assert!(packed.len() * 4 < document.len(), "{}", packed.len());
    assert_eq!(unpack(&packed).expect("whole"), document.as_bytes());
}

#[test]
fn unpack_rejects_a_truncated_document() {
    let packed = pack(routes(100).as_bytes()).expect("it packs");
    let result = unpack(&packed[..packed.len() / 2]);
    assert!(matches!(result, Err(Error::Malformed(_))), "{result:?}");
}

/// Guards against exhausting the node's memory when a faulty peer sends a few kilobytes that
/// decompress to far more than the size limit of a document.
#[test]
fn unpack_stops_at_the_limit() {
    let packed = pack(&vec![0; MAX_DOCUMENT_BYTES + 1]).expect("it packs");
    let result = unpack(&packed);
    assert!(matches!(result, Err(Error::TooLong)), "{result:?}");
}
