//! `mintridge`, the operators' command-line tool.

use std::process::ExitCode;

use mintridge_ctl::error::Error;
use mintridge_ctl::{commands, flags};

fn main() -> ExitCode {
    let arguments = flags::Mintridge::from_env_or_exit();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            error.exit_code()
        }
    }
}

fn run(arguments: flags::Mintridge) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    runtime.block_on(commands::run(arguments))
}
