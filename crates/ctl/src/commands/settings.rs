//! `mintridge settings`: check a file, print the defaults.

use error_stack::Report;
use mintridge_node::settings::{self, Settings, load};

use super::Context;
use crate::error::Error;
use crate::flags::{self, SettingsCmd};

/// Runs a command of this group.
///
/// # Errors
/// If a file is not taken.
pub fn run(_: &Context, settings: flags::Settings) -> Result<(), Error> {
    match settings.subcommand {
        SettingsCmd::Check(check) => {
            load(&check.file).map_err(file_error)?;
            println!("{}: good", check.file.display());
        }
        SettingsCmd::Defaults(_) => {
            println!("{}", serde_json::to_string_pretty(&Settings::default())?);
        }
    }
    Ok(())
}

/// The failure of a file as this command reports it.
#[must_use]
pub const fn file_error(report: Report<settings::Error>) -> Error {
    Error::File(report)
}
