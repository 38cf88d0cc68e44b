//! Processes of entries under test: started, observed through `/proc`, and ended by their id.

use eyre::{Context, ContextCompat, Result};
use rustix::process::{Pid, Signal, kill_process};
use serde::{Deserialize, de::DeserializeOwned};
use std::{
    fs,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::Path,
    process::{Child, Command, ExitStatus, Stdio},
    thread,
    time::Duration,
};
use tokio::{sync::oneshot, time::timeout};

/// State of a listening socket or a connection in `/proc/net/tcp`.
const LISTEN: &str = "0A";

/// A running process; it is killed on drop.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

/// What a process uses of its machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Highest resident memory since its start, in bytes.
    pub peak_memory: u64,
    /// Resident memory now, in bytes.
    pub memory: u64,
    /// Open file descriptors.
    pub descriptors: usize,
    /// Those of them that are sockets.
    pub sockets: usize,
}

impl Process {
    /// Starts `command`.
    ///
    /// # Errors
    /// If it can't be started.
    pub fn spawn(command: &mut Command) -> Result<Self> {
        let child = command.spawn().wrap_err("starting a process")?;
        Ok(Self { child })
    }

    /// The child process, for its pipes.
    pub fn child(&mut self) -> &mut Child {
        &mut self.child
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn signal(&self, signal: Signal) -> Result<()> {
        let id = i32::try_from(self.child.id())?;
        let id = Pid::from_raw(id).wrap_err("invalid process id")?;
        Ok(kill_process(id, signal)?)
    }

    /// How the process has ended; `None` while it runs.
    ///
    /// # Errors
    /// If its status can't be read.
    pub fn exit_status(&mut self) -> Result<Option<ExitStatus>> {
        Ok(self.child.try_wait()?)
    }

    /// What it uses now.
    ///
    /// # Errors
    /// If the process has ended.
    pub fn usage(&self) -> Result<Usage> {
        let folder = format!("/proc/{}", self.child.id());
        let status = fs::read_to_string(format!("{folder}/status"))?;
        let kilobytes = |name: &str| -> Result<u64> {
            let line = status.lines().find_map(|line| line.strip_prefix(name));
            let value = line.and_then(|line| line.trim().strip_suffix(" kB"));
            let value = value.wrap_err_with(|| format!("no {name} in the process status"))?;
            Ok(value.parse()?)
        };
        let mut usage = Usage {
            peak_memory: kilobytes("VmHWM:")? << 10,
            memory: kilobytes("VmRSS:")? << 10,
            descriptors: 0,
            sockets: 0,
        };
        for descriptor in fs::read_dir(format!("{folder}/fd"))? {
            usage.descriptors += 1;
            // A descriptor may be closed while the folder is read.
            let target = descriptor.and_then(|descriptor| fs::read_link(descriptor.path()));
            let is_socket =
                target.is_ok_and(|target| target.to_string_lossy().starts_with("socket:"));
            usage.sockets += usize::from(is_socket);
        }
        Ok(usage)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // The process may have exited already; the error is ignored.
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}

/// What an entry of the request path logs as it starts: the addresses that it listens on.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Started {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// Starts an entry of the request path, and waits until it listens.
///
/// # Errors
/// If it can't be started or doesn't listen `within` this time.
pub async fn serve(program: &str, settings: &Path, within: Duration) -> Result<(Process, Started)> {
    let mut command = Command::new(program);
    command
        .args(["serve", "--settings"])
        .arg(settings)
        .env("TEST_PEER_KEY", "a key that all entries of the test share")
        .stderr(Stdio::piped());
    let mut process = Process::spawn(&mut command)?;
    let output = process.child().stderr.take();
    let output = output.wrap_err("stderr isn't piped")?;
    let started = logged_fields(output, "serves callers on", within).await?;
    Ok((process, started))
}

/// A log line, as far as it is read.
#[derive(Deserialize)]
struct Line<T> {
    kv: T,
}

/// Returns the fields of the first log line with `text` in `output`, a pipe from a process.
///
/// The rest is read and dropped in the background: a process whose pipe is full is blocked.
///
/// # Errors
/// If the process ends without such a line, doesn't write it `within` this time, or writes it with other fields.
pub async fn logged_fields<T: DeserializeOwned>(
    output: impl Read + Send + 'static,
    text: &'static str,
    within: Duration,
) -> Result<T> {
    let (found, line) = oneshot::channel();
    thread::spawn(move || {
        let mut lines = BufReader::new(output).lines().map_while(Result::ok);
        if let Some(line) = lines.find(|line| line.contains(text)) {
            // The caller may have given up.
            let _unwanted = found.send(line);
        }
        lines.for_each(drop);
    });
    let line = timeout(within, line).await;
    let line = line
        .wrap_err_with(|| format!("no line with {text:?} in time"))?
        .wrap_err_with(|| format!("the process has ended without a line with {text:?}"))?;
    let line: Line<T> = serde_json::from_str(&line).wrap_err("reading a log line")?;
    Ok(line.kv)
}

/// Bytes that connections to the listener at an IPv4 address have received and their process hasn't
/// read.
///
/// # Errors
/// If the list of connections can't be read.
pub fn unread_bytes(listener: SocketAddr) -> Result<u64> {
    let list = fs::read_to_string("/proc/net/tcp")?;
    let port = format!(":{:04X}", listener.port());
    let unread = list.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (local, _remote, state) = (fields.next()?, fields.next()?, fields.next()?);
        let (_unsent, unread) = fields.next()?.split_once(':')?;
        // The queue of a listening socket counts connections.
        let is_connection = local.ends_with(&port) && state != LISTEN;
        is_connection.then(|| u64::from_str_radix(unread, 16).ok())?
    });
    Ok(unread.sum())
}
