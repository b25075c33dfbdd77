//! Settings of the daemon, from flags and environment variables.
//!
//! They are checked as a whole: [`Settings::read`] names every fault at once, so that an operator mends a
//! start-up in one go.

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

/// Shortest operator token and cluster key, in bytes.
const MIN_SECRET_BYTES: usize = 16;

/// Beginning of the environment variables.
const ENV_PREFIX: &str = "SEQUOIASTREAM_";

/// How log lines are written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LogFormat {
    /// For people.
    Text,
    /// One JSON object a line.
    Json,
}

impl LogFormat {
    /// The format that `word` names; text for any but `json`.
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
    /// Name of this instance, unique in the deployment.
    pub name: Name,
    /// Availability zone of this instance.
    pub zone: Name,
    /// Where callers and operators connect.
    pub listen: SocketAddr,
    /// Where other instances connect, over UDP and TCP.
    pub peer: SocketAddr,
    /// Base address of the platform.
    pub platform: String,
    /// What operators authenticate with.
    pub operator_token: String,
    /// Key of the messages between instances.
    pub cluster_key: String,
    /// Threads for traffic.
    pub workers: usize,
    /// Deadline of a call to the platform.
    pub kv_deadline: Duration,
    /// How long a watch waits.
    pub watch_wait: Duration,
    /// Calls a second to the platform that this instance may make.
    pub kv_rate: u32,
    /// How long the lease of a service's authority lasts after its last renewal.
    pub lease_ttl: Duration,
    /// How claims are grouped into writes.
    pub claim_grouping: OwnerSettings,
    /// How requests are routed and roles changed.
    pub policy: Policy,
    /// How often engines are asked for their load.
    pub load_interval: Duration,
    /// How long a role change takes an engine away.
    pub role_downtime: Duration,
    /// Limits of membership.
    pub limits: Limits,
    /// Time between two looks at the platform's lists.
    pub list_interval: Duration,
    /// Times of a shutdown.
    pub shutdown_times: ShutdownTimes,
    /// How long engines and callers may be silent.
    pub timeouts: Timeouts,
    /// How log lines are written.
    pub log_format: LogFormat,
    /// Only check the settings.
    pub check_only: bool,
}

impl fmt::Debug for Settings {
    /// Leaves the secrets out.
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

/// Everything that is wrong with the settings.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("could not accept the settings:\n{}", .faults.iter().map(|f| format!("  - {f}")).collect::<Vec<_>>().join("\n"))]
pub struct SettingsError {
    /// The faults, in the order of the settings.
    pub faults: Vec<String>,
}

/// The daemon's command line.
pub fn cli() -> Command {
    Command::new("sequoiastreamd")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Entry instance of sequoiastream")
        .after_help("Each flag can be given as an environment variable. Secrets are best given so.")
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
                .help("Check the settings and exit"),
        )
}

/// Puts `args` under a heading of the help.
fn with_heading(heading: &'static str, args: Vec<Arg>) -> impl Iterator<Item = Arg> {
    args.into_iter().map(move |arg| arg.help_heading(heading))
}

/// A flag that is also read from the environment variable `SEQUOIASTREAM_NAME`.
fn text_arg(name: &'static str, help: &'static str) -> Arg {
    let variable = format!("{ENV_PREFIX}{}", name.to_ascii_uppercase().replace('-', "_"));
    Arg::new(name).long(name).env(variable).help(help)
}

/// The same, with a whole number.
fn number_arg(name: &'static str, help: &'static str, default: &'static str) -> Arg {
    text_arg(name, help)
        .default_value(default)
        .value_parser(value_parser!(u64))
}

impl Settings {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// [`SettingsError`] with every fault.
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

/// Reads settings and gathers what is wrong with them.
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
