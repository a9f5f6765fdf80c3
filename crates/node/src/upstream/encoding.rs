//! Whether a request accepts the content encoding of its response (RFC 9110, section 12.5.3).

use hyper::header::{ACCEPT_ENCODING, CONTENT_ENCODING, HeaderMap, HeaderValue};

/// The content encodings that a request accepts.
#[derive(Clone, Debug)]
pub struct Accepted(Vec<HeaderValue>);

impl Accepted {
    /// Reads the `Accept-Encoding` fields of a request.
    #[must_use]
    pub fn of(headers: &HeaderMap) -> Self {
        let values = headers.get_all(ACCEPT_ENCODING);
        Self(values.iter().cloned().collect())
    }

    /// Returns whether a response with these headers has no encoding, or only encodings that the
    /// request names.
    ///
    /// Failure: a request accepts `identity`, which is no encoding, or only others than that of the
    /// response. Symptom: its caller takes encoded bytes for the upstream's body.
    #[must_use]
    pub fn allows(&self, response: &HeaderMap) -> bool {
        let encodings = response.get_all(CONTENT_ENCODING).iter();
        encodings
            .flat_map(elements)
            .all(|coding| self.names(coding))
    }

    fn names(&self, coding: &str) -> bool {
        let coding = normalized(coding);
        if coding.is_empty() || coding == "identity" {
            return false;
        }
        let accepted = self.0.iter().flat_map(elements);
        let accepted = accepted.map(|element| element.split_once(';').unwrap_or((element, "")));
        let mut names_any = false;
        for (name, weight) in accepted {
            let name = normalized(name);
            if name == coding {
                return !is_zero(weight);
            }
            names_any |= name == "*" && !is_zero(weight);
        }
        names_any
    }
}

/// Returns the elements of a list field.
fn elements(value: &HeaderValue) -> impl Iterator<Item = &str> {
    value.to_str().unwrap_or_default().split(',')
}

/// Returns a coding in lower case and under its present name: `gzip` was `x-gzip`.
fn normalized(coding: &str) -> String {
    let coding = coding.trim().to_ascii_lowercase();
    coding
        .strip_prefix("x-")
        .map_or(coding.clone(), str::to_owned)
}

/// Returns whether a weight such as `q=0.0` excludes its coding.
fn is_zero(weight: &str) -> bool {
    let value = weight.split_once('=').map(|(_, value)| value.trim());
    let value = value.and_then(|value| value.parse().ok());
    value.is_some_and(|value: f64| value <= 0.0)
}
