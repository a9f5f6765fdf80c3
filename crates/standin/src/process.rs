//! A node as a separate process that can be killed, paused and resumed.

use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::{env, fs, io, thread};

use mintridge_node::context::Addresses;
use mintridge_node::settings::Settings;
use parking_lot::Mutex;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

/// Maximum number of log lines captured from one process: enough for minutes of a test in which
/// many requests fail.
const MAX_LOG_LINES: usize = 10_000;

/// A running node process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Addresses,
    settings_path: PathBuf,
    logs: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the node binary, waits for its start message and reads its listening addresses from
    /// it.
    ///
    /// # Errors
    /// If the process does not start.
    pub fn start(binary: &Path, settings: &Settings) -> io::Result<Self> {
        let file = write_settings(settings)?;
        let mut child = Command::new(binary)
            .arg(&file)
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let mut lines = BufReader::new(output).lines();
        let addresses = loop {
            let line = lines.next().ok_or(io::ErrorKind::UnexpectedEof)??;
            if let Some(addresses) = parse_addresses(&line) {
                break addresses;
            }
            eprintln!("{line}");
        };
        let show_logs = env::var_os("SHOW_NODE_LOGS").is_some();
        let logs = Arc::new(Mutex::new(Vec::new()));
        let captured = Arc::clone(&logs);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if show_logs {
                    eprintln!("{line}");
                }
                let mut captured = captured.lock();
                if captured.len() < MAX_LOG_LINES {
                    captured.push(line);
                }
            }
        });
        Ok(Self {
            child,
            addresses,
            settings_path: file,
            logs,
        })
    }

    /// Addresses that the node listens on.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Replaces the text of the settings file, which the node reads on a reload.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn rewrite_settings(&self, text: &str) -> io::Result<()> {
        fs::write(&self.settings_path, text)
    }

    /// Returns the current text of the settings file.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn settings(&self) -> io::Result<String> {
        fs::read_to_string(&self.settings_path)
    }

    /// Returns the lines that the process logged after its start message, up to a fixed number.
    #[must_use]
    pub fn logs(&self) -> Vec<String> {
        self.logs.lock().clone()
    }

    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process only.
    ///
    /// # Errors
    /// If the process is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits until the process ends.
    ///
    /// # Errors
    /// If waiting fails.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings_path);
    }
}

fn write_settings(settings: &Settings) -> io::Result<PathBuf> {
    let name = format!("mintridge-{:032x}.json", rand::random::<u128>());
    let path = env::temp_dir().join(name);
    let mut file = fs::File::create_new(&path)?;
    file.write_all(&serde_json::to_vec(settings)?)?;
    Ok(path)
}

/// Returns the addresses if `line` is the log message of the node's start.
fn parse_addresses(line: &str) -> Option<Addresses> {
    let line: Value = serde_json::from_str(line).ok()?;
    if line.get("message")?.as_str()? != "node started" {
        return None;
    }
    let address = |name: &str| -> Option<SocketAddr> {
        let fields = line.get("kvs").unwrap_or(&line);
        fields.get(name)?.as_str()?.parse().ok()
    };
    Some(Addresses {
        callers: address("callers")?,
        peers: address("peers")?,
        control: address("control")?,
        announcements: address("announcements")?,
        operators: address("operators")?,
        accounts_port: None,
    })
}
