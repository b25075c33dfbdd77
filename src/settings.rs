//! Settings of the daemon, from flags and environment variables.
//!
//! They are validated together: [`Settings::read`] reports all faults at once, so that an operator can correct them
//! without a restart for each.

mod identity;
mod limits;
mod patience;
mod platform;
mod times;
mod traffic;

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use sequoiastream_core::claims::OwnerSettings;
use sequoiastream_core::membership::Limits;
use sequoiastream_core::name::Name;
use sequoiastream_core::policy::Policy;
use sequoiastream_core::shutdown::ShutdownTimes;
use thiserror::Error;

pub use patience::Timeouts;

/// Minimum length of the operator token and of the cluster key, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Prefix of the environment variables.
const ENV_PREFIX: &str = "SEQUOIASTREAM_";

/// Format of log lines.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// Human-readable text.
    Text,
    /// One JSON object per line.
    Json,
}

impl LogFormat {
    /// The format called `name`; [`LogFormat::Text`] for every name except `json`.
    pub fn from_name(name: &str) -> LogFormat {
        match name {
            "json" => LogFormat::Json,
            _ => LogFormat::Text,
        }
    }
}

/// Settings of one daemon.
#[derive(Clone)]
pub struct Settings {
    /// Name of this instance; unique in the deployment.
    pub name: Name,
    /// Availability zone of this instance.
    pub zone: Name,
    /// Listen address for callers and operators.
    pub listen: SocketAddr,
    /// Listen address for other instances, over UDP and TCP.
    pub peer: SocketAddr,
    /// Base URL of the platform.
    pub platform: String,
    /// Token that operators authenticate with.
    pub operator_token: String,
    /// Key that authenticates messages between instances.
    pub cluster_key: String,
    /// Number of worker threads for traffic.
    pub workers: usize,
    /// Time limit for one call to the platform.
    pub kv_deadline: Duration,
    /// How long a watch call waits for a change.
    pub watch_wait: Duration,
    /// Maximum number of calls per second that this instance makes to the platform.
    pub kv_rate: u32,
    /// Duration of the lease of a service's authority, from its last renewal.
    pub lease_ttl: Duration,
    /// How claims are grouped into writes.
    pub claim_grouping: OwnerSettings,
    /// Policy of routing and role changes.
    pub policy: Policy,
    /// Interval between load queries to an engine.
    pub load_interval: Duration,
    /// How long an engine is unavailable during a role change.
    pub role_downtime: Duration,
    /// Time limits and sizes of membership.
    pub limits: Limits,
    /// Interval between reads of the platform's lists; longer in a large fleet.
    pub list_interval: Duration,
    /// Durations of the phases of a shutdown.
    pub shutdown_times: ShutdownTimes,
    /// Timeouts for engines and callers.
    pub timeouts: Timeouts,
    /// Format of log lines.
    pub log_format: LogFormat,
    /// Validate the settings and exit.
    pub check_only: bool,
}

impl fmt::Debug for Settings {
    /// Omits the secrets.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Settings")
            .field("name", &self.name)
            .field("zone", &self.zone)
            .field("listen", &self.listen)
            .field("peer", &self.peer)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}

/// All faults found in the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("could not accept the settings:\n{}", .faults.iter().map(|f| format!("  - {f}")).collect::<Vec<_>>().join("\n"))]
pub struct SettingsError {
    /// The faults, in the order in which the settings are read.
    pub faults: Vec<String>,
}

/// The command line of the daemon.
pub fn cli() -> Command {
    Command::new("sequoiastreamd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry instance of sequoiastream")
        .after_help("Each flag can also be set by an environment variable, which is recommended for secrets.")
        .args(with_heading("Instance", identity::args()))
        .args(with_heading("Platform", platform::args()))
        .args(with_heading("Traffic", traffic::args()))
        .args(with_heading("Engines and callers", patience::args()))
        .args(with_heading("Membership", limits::args()))
        .args(with_heading("Shutdown", times::args()))
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the settings and exit"),
        )
}

/// Lists `args` under `heading` in the help text.
fn with_heading(heading: &'static str, args: Vec<Arg>) -> impl Iterator<Item = Arg> {
    args.into_iter().map(move |arg| arg.help_heading(heading))
}

/// A flag whose value can also come from an environment variable: [`ENV_PREFIX`] and the flag's name in upper case,
/// with `_` for `-`.
fn text_arg(name: &'static str, help: &'static str) -> Arg {
    let variable = format!("{ENV_PREFIX}{}", name.to_ascii_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(variable).help(help)
}

/// Like [`text_arg`], for an unsigned integer.
fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    text_arg(name, help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

impl Settings {
    /// Reads and validates the settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with all faults found.
    pub fn read(matches: &ArgMatches) -> Result<Settings, SettingsError> {
        let mut reader = Reader {
            matches,
            faults: Vec::new(),
        };
        let name = reader.parsed::<Name>("name");
        let zone = reader.parsed::<Name>("zone");
        let listen = reader.parsed::<SocketAddr>("listen");
        let peer = reader.parsed::<SocketAddr>("peer");
        let platform = reader.platform();
        let operator_token = reader.secret("operator-token");
        let cluster_key = reader.secret("cluster-key");
        let workers = reader.positive("workers");
        let kv_deadline = reader.positive("kv-deadline-ms");
        let watch_wait = reader.positive("watch-ms");
        let kv_rate = reader.positive("kv-rate");
        let lease_ttl = reader.positive("lease-ms");
        let claim_grouping = traffic::claim_grouping(matches);
        let load_interval = reader.positive("load-ms");
        let role_downtime = reader.positive("away-ms");
        let policy = reader.parsed::<Policy>("policy").unwrap_or_default();
        let limits = limits::limits(&mut reader);
        let list_interval = limits::list_interval(&mut reader);
        let shutdown_times = times::shutdown_times(&mut reader);
        let timeouts = patience::timeouts(&mut reader);
        let log_format = LogFormat::from_name(&reader.text("log-format"));
        let faults = reader.faults;
        let (Some(name), Some(zone), Some(listen), Some(peer), true) =
            (name, zone, listen, peer, faults.is_empty())
        else {
            return Err(SettingsError { faults });
        };
        Ok(Settings {
            name,
            zone,
            listen,
            peer,
            platform,
            operator_token,
            cluster_key,
            workers: usize::try_from(workers).unwrap_or(1),
            kv_deadline: Duration::from_millis(kv_deadline),
            watch_wait: Duration::from_millis(watch_wait),
            kv_rate: u32::try_from(kv_rate).unwrap_or(u32::MAX),
            lease_ttl: Duration::from_millis(lease_ttl),
            claim_grouping,
            policy,
            load_interval: Duration::from_millis(load_interval),
            role_downtime: Duration::from_millis(role_downtime),
            limits,
            list_interval,
            shutdown_times,
            timeouts,
            log_format,
            check_only: matches.get_flag("check"),
        })
    }
}

/// Reads settings and collects their faults.
struct Reader<'a> {
    matches: &'a ArgMatches,
    faults: Vec<String>,
}

impl Reader<'_> {
    fn text(&mut self, name: &str) -> String {
        match self.matches.get_one::<String>(name) {
            Some(text) => text.clone(),
            None => {
                self.faults.push(format!("--{name} is missing"));
                String::new()
            }
        }
    }

    fn parsed<T>(&mut self, name: &str) -> Option<T>
    where
        T: std::str::FromStr,
        T::Err: fmt::Display,
    {
        let text = self.matches.get_one::<String>(name).cloned();
        let Some(text) = text else {
            self.faults.push(format!("--{name} is missing"));
            return None;
        };
        match text.parse() {
            Ok(value) => Some(value),
            Err(error) => {
                self.faults.push(format!("--{name} {text:?}: {error}"));
                None
            }
        }
    }

    fn platform(&mut self) -> String {
        let text = self.text("platform");
        if !text.starts_with("http://") {
            self.faults
                .push(format!("--platform {text:?}: must begin with http://"));
        }
        text
    }

    fn secret(&mut self, name: &str) -> String {
        let text = self.text(name);
        if !text.is_empty() && text.len() < MIN_SECRET_BYTES {
            self.faults
                .push(format!("--{name} must have at least {MIN_SECRET_BYTES} bytes"));
        }
        text
    }

    fn positive(&mut self, name: &str) -> u64 {
        let value = self.matches.get_one::<u64>(name).copied().unwrap_or_default();
        if value == 0 {
            self.faults.push(format!("--{name} must be at least 1"));
        }
        value
    }
}
