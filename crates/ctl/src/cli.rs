//! The command line's grammar.

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

/// Which entry to ask, and as whom.
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
    /// File that holds the operator's token; else `PRIMROSE_TOKEN` is read.
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

/// What to do.
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
    /// How the system stands, as the entry asked sees it.
    Status,
    /// The audit trail.
    Audit(Audit),
    /// Buffer cost, roll-out time and moves per account, pool and wave, over a period.
    Report(Report),
    /// Run a small deployment in this process, under load and faults, and judge it.
    Demo(Demo),
    /// The job path on the users' platform, as its store and its list of instances show it.
    Site(Site),
    /// Print shell completions.
    Completions {
        /// The shell.
        shell: Shell,
    },
}

/// Where the platform is, and what to show of it.
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
    /// Pools: owners, needs, instances, and jobs that wait.
    Pools,
    /// Waves of maintenance with their progress.
    Waves,
    /// A job's story, also while its pool has no owner.
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

/// Commands on things that are only listed.
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
    /// Let an instance finish what is in flight and take nothing new.
    Drain {
        /// The instance.
        name: id::Instance,
        /// Go ahead although an availability budget forbids it.
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
    /// Show how far one wave is.
    Status {
        /// The wave.
        name: id::Wave,
        /// Go on until the wave has ended or waits for an operator.
        #[arg(long)]
        watch: bool,
    },
    /// Take no more instances out; those that are out come back.
    Pause {
        /// The wave.
        name: id::Wave,
        #[command(flatten)]
        change: Change,
    },
    /// Go on with a paused or halted wave, small again.
    Resume {
        /// The wave.
        name: id::Wave,
        #[command(flatten)]
        change: Change,
    },
    /// End a wave; instances that still drain serve again.
    Abort {
        /// The wave.
        name: id::Wave,
        #[command(flatten)]
        change: Change,
    },
}

/// What a wave covers and how fast it may go.
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
    /// Take nothing out before this time, such as 2026-12-02T22:00:00Z.
    #[arg(long)]
    pub(crate) opens: Option<Timestamp>,
    /// Take nothing out from this time on.
    #[arg(long)]
    pub(crate) closes: Option<Timestamp>,
    /// Most instances out at a time, over all pools.
    #[arg(long)]
    pub(crate) max_out: Option<u32>,
    /// Seconds that one instance is expected to be out.
    #[arg(long, value_name = "SECONDS")]
    pub(crate) reboot: Option<u64>,
}

/// Commands on entries.
#[derive(Debug, Subcommand)]
pub(crate) enum Entry {
    /// Remove an entry whose process is known to run no more, so that no drain waits for it.
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
    /// Submit jobs from a YAML file, which holds one or a list, or one by options.
    Submit(Submission),
    /// List jobs.
    List {
        /// Only those of this account.
        #[arg(long)]
        account: Option<id::Account>,
        /// Only those of this kind.
        #[arg(long)]
        kind: Option<id::Job>,
        /// Only those in this state, such as `running`.
        #[arg(long)]
        state: Option<id::Job>,
    },
    /// Print one job.
    Show {
        /// The job.
        name: id::Job,
    },
    /// Cancel jobs in one change: by name, or all of an account or kind.
    Cancel {
        /// The jobs.
        #[arg(required_unless_present_any = ["account", "kind"])]
        names: Vec<id::Job>,
        /// Those of this account.
        #[arg(long, conflicts_with = "names")]
        account: Option<id::Account>,
        /// Those of this kind.
        #[arg(long, conflicts_with = "names")]
        kind: Option<id::Job>,
        /// Why, for the audit trail.
        #[arg(long, default_value = "")]
        reason: String,
    },
    /// Put a parked job back into the queue, its failures forgotten.
    Release {
        /// The job.
        name: id::Job,
        #[command(flatten)]
        change: Change,
    },
}

/// What `job submit` is given.
#[derive(Debug, Args)]
pub(crate) struct Submission {
    /// The file.
    #[arg(required_unless_present = "name")]
    pub(crate) file: Option<PathBuf>,
    /// The job's name.
    #[arg(long, conflicts_with = "file", requires_all = ["account", "pool", "kind"])]
    pub(crate) name: Option<id::Job>,
    /// The account whose share it uses.
    #[arg(long, requires = "name")]
    pub(crate) account: Option<id::Account>,
    /// The pool whose instances run it.
    #[arg(long, requires = "name")]
    pub(crate) pool: Option<id::Pool>,
    /// What sort of work it is.
    #[arg(long, requires = "name")]
    pub(crate) kind: Option<id::Job>,
    /// Processor cores that it needs.
    #[arg(long, requires = "name", default_value_t = 1.0)]
    pub(crate) cores: f64,
    /// Memory that it needs, in bytes.
    #[arg(long, requires = "name", default_value_t = 0.0)]
    pub(crate) memory: f64,
    /// Accelerators that it needs.
    #[arg(long, requires = "name", default_value_t = 0.0)]
    pub(crate) accelerators: f64,
    /// Why, for the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
}

/// Options of every change.
#[derive(Debug, Args)]
pub(crate) struct Change {
    /// Refuse unless the row has this version; 0 means that it must not exist.
    #[arg(long)]
    pub(crate) if_version: Option<u64>,
    /// Why, for the audit trail.
    #[arg(long, default_value = "")]
    pub(crate) reason: String,
    /// Wait until every registered entry has the change in force.
    #[arg(long)]
    pub(crate) wait: bool,
    /// Longest wait, in seconds.
    #[arg(long, default_value_t = 30, value_name = "SECONDS")]
    pub(crate) wait_limit: u64,
}

/// Options of the audit trail.
#[derive(Debug, Args)]
pub(crate) struct Audit {
    /// Only changes after this one.
    #[arg(long, default_value_t = 0)]
    pub(crate) after: u64,
    /// Most changes to read.
    #[arg(long, default_value_t = 100)]
    pub(crate) limit: u32,
    /// Only changes whose actor contains this.
    #[arg(long)]
    pub(crate) actor: Option<String>,
    /// Only changes of rows whose key starts with this, such as `account/`.
    #[arg(long)]
    pub(crate) key: Option<String>,
    /// Go on printing changes as they come.
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
    /// How long callers send, in seconds.
    #[arg(long, default_value_t = 40, value_parser = clap::value_parser!(u64).range(3..=45))]
    pub(crate) seconds: u64,
    /// Seed of the callers' choices.
    #[arg(long, default_value_t = 1)]
    pub(crate) seed: u64,
}
