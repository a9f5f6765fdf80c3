//! A node as a process of its own, that can be killed, frozen and woken.

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

/// Lines kept of the logs of one process: minutes of a test in which many requests fail.
const LINES_MOST: usize = 10_000;

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    addresses: Addresses,
    settings: PathBuf,
    logs: Arc<Mutex<Vec<String>>>,
}

impl Process {
    /// Starts the node's binary and reads from its log where it listens.
    ///
    /// # Errors
    /// If it does not start.
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
            if let Some(addresses) = addresses(&line) {
                break addresses;
            }
            eprintln!("{line}");
        };
        let show = env::var_os("SHOW_NODE_LOGS").is_some();
        let logs = Arc::new(Mutex::new(Vec::new()));
        let kept = Arc::clone(&logs);
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                if show {
                    eprintln!("{line}");
                }
                let mut kept = kept.lock();
                if kept.len() < LINES_MOST {
                    kept.push(line);
                }
            }
        });
        Ok(Self {
            child,
            addresses,
            settings: file,
            logs,
        })
    }

    /// Where it listens.
    #[must_use]
    pub const fn addresses(&self) -> &Addresses {
        &self.addresses
    }

    /// Writes other text into its settings file, which it may read again.
    ///
    /// # Errors
    /// If the file cannot be written.
    pub fn rewrite_settings(&self, text: &str) -> io::Result<()> {
        fs::write(&self.settings, text)
    }

    /// Its settings file as it stands.
    ///
    /// # Errors
    /// If the file cannot be read.
    pub fn settings(&self) -> io::Result<String> {
        fs::read_to_string(&self.settings)
    }

    /// What it has written since its start, up to a bound.
    #[must_use]
    pub fn logs(&self) -> Vec<String> {
        self.logs.lock().clone()
    }

    /// Its number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to this process alone.
    ///
    /// # Errors
    /// If it is gone.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::NotFound)?;
        Ok(kill_process(pid, signal)?)
    }

    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for its end.
    ///
    /// # Errors
    /// If it cannot be waited for.
    pub fn wait(&mut self) -> io::Result<ExitStatus> {
        self.child.wait()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_file(&self.settings);
    }
}

fn write_settings(settings: &Settings) -> io::Result<PathBuf> {
    let name = format!("mintridge-{:032x}.json", rand::random::<u128>());
    let path = env::temp_dir().join(name);
    let mut file = fs::File::create_new(&path)?;
    file.write_all(&serde_json::to_vec(settings)?)?;
    Ok(path)
}

/// The addresses in the log line that tells of the start.
fn addresses(line: &str) -> Option<Addresses> {
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
    })
}
