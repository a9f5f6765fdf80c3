//! Load on mintridge: callers, an open-loop schedule, and reports.

pub mod caller;
pub mod load;
pub mod policy;
pub mod report;
