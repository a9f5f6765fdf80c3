//! Client accounts as a routing table lists them, before they are checked.
//!
//! Failure: one account of a table contains a value of the wrong type. Symptom: if the document
//! were rejected, no change of any route would take effect; and the parser's message may quote the
//! value, which may be a key. Each field is therefore read by itself, and what cannot be read is
//! kept only as the fact that it cannot.

use std::fmt;
use std::marker::PhantomData;

use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserializer, IgnoredAny, MapAccess, Visitor};
use serde::{Deserialize, Serialize};

use super::key::Digest;

/// Value that may be of the wrong type.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub enum Field<T> {
    /// The value.
    Read(T),
    /// The value has another type.
    Unreadable(Unreadable),
}

/// Value of the wrong type, of which nothing is kept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Unreadable;

impl<'de> Deserialize<'de> for Unreadable {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        IgnoredAny::deserialize(source).map(|_| Self)
    }
}

/// A listed key; `None` if no request can carry it or it is not text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(from = "Field<String>")]
pub struct Key(pub Option<Digest>);

impl From<Field<String>> for Key {
    fn from(listed: Field<String>) -> Self {
        match listed {
            Field::Read(key) => Self(Digest::of(&key)),
            Field::Unreadable(Unreadable) => Self(None),
        }
    }
}

/// An object with named fields. Derived implementations also accept a list of the fields' values,
/// by which a list of keys would pass for an account with a key as its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Object<T>(pub T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for Object<T> {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        source.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Object<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields)).map(Object)
    }
}

/// An account as a table lists it.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub struct Entry {
    /// Name of the account.
    pub name: Option<Field<String>>,
    /// Keys of the account.
    pub keys: Option<Field<Vec<Key>>>,
    /// Priority; 0 is the highest.
    pub priority: Option<Field<u64>>,
    /// Requests per second; no limit if 0 or absent.
    pub requests_per_second: Option<Field<f64>>,
    /// Requests that may be sent at once after a time without requests.
    pub burst: Option<Field<f64>>,
}

/// The accounts that a table lists.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(transparent)]
pub struct Listing(pub Option<Field<Vec<Field<Object<Entry>>>>>);
