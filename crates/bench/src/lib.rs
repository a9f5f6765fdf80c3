//! Load generator for mintridge with callers, an open-loop schedule and reports, and a comparison
//! of placement policies in virtual time.

pub mod caller;
pub mod load;
pub mod policy;
pub mod report;
