use std::net::SocketAddr;

use model::{CentreName, ServiceName};

use crate::args::NodeArgs;
use crate::command_error::CommandError;
use crate::secret_text::SecretText;
use crate::setting_fault::SettingFaults;
use crate::setting_reader::SettingReader;

/// Runs the node beside a backend server.
pub(crate) fn run_node(args: &NodeArgs) -> Result<(), CommandError> {
    let _settings = NodeSettings::read(args)?;
    Err(CommandError::NotBuilt("node"))
}

/// The settings of a node.
#[expect(dead_code, reason = "read by the node process")]
struct NodeSettings {
    service: ServiceName,
    centre: CentreName,
    backend: SocketAddr,
    entry: SocketAddr,
    egress: SocketAddr,
    ingress: SocketAddr,
    admin: SocketAddr,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
    fleet_secret: SecretText,
}

impl NodeSettings {
    fn read(args: &NodeArgs) -> Result<Self, SettingFaults> {
        let mut reader = SettingReader::default();
        let settings = Self::read_all(args, &mut reader);
        reader.finish(settings)
    }

    /// Reads every setting before it gives up on one, so that all faults are found.
    fn read_all(args: &NodeArgs, reader: &mut SettingReader) -> Option<Self> {
        let service = reader.required("service", args.service.as_deref());
        let centre = reader.required("centre", args.centre.as_deref());
        let backend = reader.required("backend", args.backend.as_deref());
        let entry = reader.required("entry", args.entry.as_deref());
        let egress = reader.required("egress", args.egress.as_deref());
        let ingress = reader.required("ingress", args.ingress.as_deref());
        let admin = reader.required("admin", args.admin.as_deref());
        let platform = reader.required("platform", args.platform.as_deref());
        let peers = reader.list("peer", &args.peer);
        let fleet_secret = reader.required("fleet-secret", args.fleet_secret.as_deref());
        Some(Self {
            service: service?,
            centre: centre?,
            backend: backend?,
            entry: entry?,
            egress: egress?,
            ingress: ingress?,
            admin: admin?,
            platform: platform?,
            peers,
            fleet_secret: fleet_secret?,
        })
    }
}
