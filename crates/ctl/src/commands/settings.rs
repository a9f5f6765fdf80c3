//! `mintridge settings`: checks a settings file or prints the defaults.

use error_stack::Report;
use mintridge_node::settings::{self, Settings, load};

use super::Context;
use crate::error::Error;
use crate::flags::{self, SettingsCmd};

/// Runs a command of this group.
///
/// # Errors
/// If the file cannot be read or is invalid.
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

/// Converts the error of a settings or preset file to that of this command.
#[must_use]
pub const fn file_error(report: Report<settings::Error>) -> Error {
    Error::File(report)
}
