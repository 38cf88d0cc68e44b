//! Definition of the command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;
use jiff::Timestamp;
use primroseroute_domain::id;
use std::{net::SocketAddr, path::PathBuf};

/// Operate primroseroute: accounts, instances, and what the system is doing.
#[derive(Debug, Parser)]
#[command(name = "primrosectl", version, propagate_version = true)]
pub struct Cli {
    #[command(flatten)]
    pub(crate) target: Target,
    /// How to print results.
    #[arg(long, global = true, value_enum, default_value = "table")]
    pub(crate) output: Output,
    #[command(subcommand)]
    pub(crate) command: Command,
}

/// The entry to contact, and the operator's credentials.
#[derive(Debug, Args)]
pub(crate) struct Target {
    /// Admin address of any entry.
    #[arg(
        long,
        global = true,
        env = "PRIMROSE_ENTRY",
        default_value = "127.0.0.1:8081"
    )]
    pub(crate) entry: SocketAddr,
    /// File that contains the operator's token; by default the token is read from `PRIMROSE_TOKEN`.
    #[arg(long, global = true, env = "PRIMROSE_TOKEN_FILE")]
    pub(crate) token_file: Option<PathBuf>,
}

/// How results are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(crate) enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

/// The commands.
#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Client accounts' templates.
    #[command(subcommand)]
    Account(Account),
    /// Services.
    #[command(subcommand)]
    Service(Listing),
    /// Pools.
    #[command(subcommand)]
    Pool(Listing),
    /// Instances.
    #[command(subcommand)]
    Instance(Instance),
    /// Background jobs.
    #[command(subcommand)]
    Job(Job),
    /// Entries.
    #[command(subcommand)]
    Entry(Entry),
    /// Maintenance waves.
    #[command(subcommand)]
    Wave(Wave),
    /// Status of the system, as seen by the contacted entry.
    Status,
    /// The audit trail.
    Audit(Audit),
    /// Buffer cost, roll-out time and moves per account, pool and wave, over a period.
    Report(Report),
    /// Run a small deployment in this process, under load and faults, and check its invariants.
    Demo(Demo),
    /// State of the job path on the users' platform, from its store and its list of instances.
    Site(Site),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// The platform's settings, and what to show of it.
#[derive(Debug, Args)]
pub(crate) struct Site {
    /// An entry's settings file, which the platform writes.
    #[arg(long, env = "PRIMROSE_SITE_SETTINGS")]
    pub(crate) settings: PathBuf,
    #[command(subcommand)]
    pub(crate) command: SiteCommand,
}

/// What to show of the job path.
#[derive(Debug, Subcommand)]
pub(crate) enum SiteCommand {
    /// Pools: owners, wanted and present instances, and queued jobs.
    Pools,
    /// Client accounts: weights, maximums, and what the pools hold of them.
    Accounts,
    /// Maintenance waves with their progress.
    Waves,
    /// History of a job, also while its pool has no owner.
    Job {
        /// Its id.
        id: String,
    },
}

/// Commands on templates.
#[derive(Debug, Subcommand)]
pub(crate) enum Account {
    /// Apply a template from a YAML file.
    Apply {
        /// The file.
        file: PathBuf,
        #[command(flatten)]
        change: Change,
    },
    /// Print one template.
    Get {
        /// The account.
        name: id::Account,
    },
    /// List all accounts.
    List,
    /// Show what a template would change, and its faults.
    Diff {
        /// The file.
        file: PathBuf,
    },
    /// List the changes of one account.
    History {
        /// The account.
        name: id::Account,
    },
}

/// Commands on resources that can only be listed.
#[derive(Debug, Subcommand)]
pub(crate) enum Listing {
    /// List them.
    List,
}

/// Commands on instances.
#[derive(Debug, Subcommand)]
pub(crate) enum Instance {
    /// List them.
    List,
    /// Let an instance finish its requests in flight and send it no new ones.
    Drain {
        /// The instance.
        name: id::Instance,
        /// Drain even if an availability budget forbids it.
        #[arg(long)]
        force: bool,
        #[command(flatten)]
        change: Change,
    },
    /// Move an instance to another pool, once every entry has acknowledged its drain.
    Move {
        /// The instance.
        name: id::Instance,
        /// The pool that it joins.
        pool: id::Pool,
        #[command(flatten)]
        change: Change,
    },
    /// Put a drained instance back into service.
    Release {
        /// The instance.
        name: id::Instance,
        #[command(flatten)]
        change: Change,
    },
}

/// Commands on waves.
#[derive(Debug, Subcommand)]
pub(crate) enum Wave {
    /// Show what a wave would do: batches, roll-out time, buffer cost, moves.
    Plan {
        #[command(flatten)]
        order: WaveOrder,
    },
    /// Start a wave.
    Start {
        #[command(flatten)]
        order: WaveOrder,
        #[command(flatten)]
        change: Change,
    },
    /// List all waves.
    List,
    /// Show the progress of one wave.
    Status {
        /// The wave.
        name: id::Wave,
        /// Keep printing until the wave has ended or waits for an operator.
        #[arg(long)]
        watch: bool,
    },
    /// Take no more instances out of service; those that are out return.
    Pause {
        /// The wave.
        name: id::Wave,
        #[command(flatten)]
        change: Change,
    },
    /// Resume a paused or halted wave, ramping up from few instances again.
    Resume {
        /// The wave.
        name: id::Wave,
        #[command(flatten)]
        change: Change,
    },
    /// End a wave; instances that are still draining return to service.
    Abort {
        /// The wave.
        name: id::Wave,
        #[command(flatten)]
        change: Change,
    },
}

/// Scope and limits of a wave.
#[derive(Debug, Args)]
pub(crate) struct WaveOrder {
    /// The wave's name.
    pub(crate) name: id::Wave,
    /// Only instances of this pool; may be given several times.
    #[arg(long = "pool")]
    pub(crate) pools: Vec<id::Pool>,
    /// Only instances in this availability zone; may be given several times.
    #[arg(long = "zone")]
    pub(crate) zones: Vec<id::Zone>,
    /// Only instances in this rack; may be given several times.
    #[arg(long = "rack")]
    pub(crate) racks: Vec<id::Rack>,
    /// Take no instance out of service before this time, such as 2026-12-02T22:00:00Z.
    #[arg(long)]
    pub(crate) opens: Option<Timestamp>,
    /// Take no instance out of service from this time on.
    #[arg(long)]
    pub(crate) closes: Option<Timestamp>,
    /// Maximum instances out of service at a time, over all pools.
    #[arg(long)]
    pub(crate) max_out: Option<u32>,
    /// Seconds that one instance is expected to be out of service.
    #[arg(long, value_name = "SECONDS")]
    pub(crate) reboot: Option<u64>,
}

/// Commands on entries.
#[derive(Debug, Subcommand)]
pub(crate) enum Entry {
    /// Remove an entry whose process no longer runs, so that drains do not wait for it.
    Remove {
        /// The entry.
        name: id::Entry,
        #[command(flatten)]
        change: Change,
    },
}

/// Commands on background jobs.
#[derive(Debug, Subcommand)]
pub(crate) enum Job {
    /// Submit one job or a list of jobs from a YAML file, or one job described by options.
    Submit(Submission),
    /// List jobs.
    List {
        /// Only jobs of this account.
        #[arg(long)]
        account: Option<id::Account>,
        /// Only jobs of this kind.
        #[arg(long)]
        kind: Option<id::Job>,
        /// Only jobs in this state, such as `running`.
        #[arg(long)]
        state: Option<id::Job>,
    },
    /// Print one job.
    Show {
        /// The job.
        name: id::Job,
    },
    /// Cancel jobs in one change, either by name or all jobs of an account or kind.
    Cancel {
        /// The jobs.
        #[arg(required_unless_present_any = ["account", "kind"])]
        names: Vec<id::Job>,
        /// All jobs of this account.
        #[arg(long, conflicts_with = "names")]
        account: Option<id::Account>,
        /// All jobs of this kind.
        #[arg(long, conflicts_with = "names")]
        kind: Option<id::Job>,
        /// Reason to record in the audit trail.
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Put a parked job back into the queue and clear its failures.
    Release {
        /// The job.
        name: id::Job,
        #[command(flatten)]
        change: Change,
    },
}

/// Arguments of `job submit`.
#[derive(Debug, Args)]
pub(crate) struct Submission {
    /// The file.
    #[arg(required_unless_present = "name")]
    pub(crate) file: Option<PathBuf>,
    /// The job's name.
    #[arg(long, conflicts_with = "file", requires_all = ["account", "pool", "kind"])]
    pub(crate) name: Option<id::Job>,
    /// The account whose share the job uses.
    #[arg(long, requires = "name")]
    pub(crate) account: Option<id::Account>,
    /// The pool whose instances run the job.
    #[arg(long, requires = "name")]
    pub(crate) pool: Option<id::Pool>,
    /// The kind of work that the job does.
    #[arg(long, requires = "name")]
    pub(crate) kind: Option<id::Job>,
    /// CPU cores that the job needs.
    #[arg(long, requires = "name", default_value_t = 1.0)]
    pub(crate) cores: f64,
    /// Memory that the job needs, in bytes.
    #[arg(long, requires = "name", default_value_t = 0.0)]
    pub(crate) memory: f64,
    /// Accelerators that the job needs.
    #[arg(long, requires = "name", default_value_t = 0.0)]
    pub(crate) accelerators: f64,
    /// Reason to record in the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
}

/// Options that all changes share.
#[derive(Debug, Args)]
pub(crate) struct Change {
    /// Refuse the change unless the row has this version; 0 means that it must not exist.
    #[arg(long)]
    pub(crate) if_version: Option<u64>,
    /// Reason to record in the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
    /// Wait until the change is in effect at every registered entry.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Maximum time to wait, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub(crate) wait_limit: u64,
}

/// Options of the audit trail.
#[derive(Debug, Args)]
pub(crate) struct Audit {
    /// Only changes after this one.
    #[arg(long, default_value_t = 0)]
    pub(crate) after: u64,
    /// Maximum number of changes to read.
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: u32,
    /// Only changes whose actor contains this.
    #[arg(long)]
    pub(crate) actor: Option<String>,
    /// Only changes of rows whose key starts with this, such as `account/`.
    #[arg(long)]
    pub(crate) key: Option<String>,
    /// Keep printing new changes.
    #[arg(long)]
    pub(crate) follow: bool,
}

/// Options of the report.
#[derive(Debug, Args)]
pub(crate) struct Report {
    /// Start of the period, such as 2026-12-02T00:00:00Z; 24 hours before its end by default.
    #[arg(long)]
    pub(crate) from: Option<Timestamp>,
    /// End of the period, not included; now by default.
    #[arg(long)]
    pub(crate) to: Option<Timestamp>,
    /// The deployment's weights, as a YAML file; they set the lower bound of the buffer cost.
    #[arg(long, value_name = "FILE")]
    pub(crate) weights: Option<PathBuf>,
    /// Also plot serving, promised and held instances of each pool over time into this file.
    #[arg(long, value_name = "FILE.svg")]
    pub(crate) plot: Option<PathBuf>,
}

/// Options of the demo.
#[derive(Debug, Args)]
pub(crate) struct Demo {
    /// How long callers send requests, in seconds.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(3..=45))]
    pub(crate) seconds: u64,
    /// Seed of the callers' random choices.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}
