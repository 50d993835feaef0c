use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Request, Response};
use model::VmName;

use crate::body_pump::send_all;
use crate::head_reader::read_message;
use crate::hello_message::{HelloAnswer, HelloMessage, NONCE_BYTES};
use crate::{FleetSecret, LinkError, WIRE_VERSION, decode, encode};

/// The largest message of a connection that hasn't proved the secret yet, in bytes.
pub(crate) const MAX_PROOF_BYTES: u32 = 4 * 1024;

/// Finds out which node is at the other end of a connection, one stream after the other.
pub(crate) struct PeerProof<'s> {
    secret: &'s FleetSecret,
    state: ProofState,
}

/// How far the other end has proved itself.
enum ProofState {
    Unknown,
    Challenged {
        vm: VmName,
        theirs: [u8; NONCE_BYTES],
        ours: [u8; NONCE_BYTES],
    },
    Proven(VmName),
}

impl<'s> PeerProof<'s> {
    pub(crate) const fn new(secret: &'s FleetSecret) -> Self {
        Self {
            secret,
            state: ProofState::Unknown,
        }
    }

    /// Returns the VM that has proved the secret.
    pub(crate) const fn proven(&self) -> Option<&VmName> {
        match &self.state {
            ProofState::Proven(vm) => Some(vm),
            _ => None,
        }
    }

    /// Answers a stream of an unproven connection.
    pub(crate) async fn serve(
        &mut self,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let (parts, body) = request.into_parts();
        let answer = match parts.uri.path() {
            "/hello" => self.answer_hello(body).await,
            "/prove" => self.check_proof(body).await,
            _ => Err(LinkError::Unproven),
        };
        let sent = match answer {
            Ok(answer) => send_answer(&mut respond, answer).await,
            Err(error) => Err(error),
        };
        match sent {
            Ok(()) => {}
            Err(LinkError::Unproven) => respond.send_reset(Reason::REFUSED_STREAM),
            Err(_) => respond.send_reset(Reason::PROTOCOL_ERROR),
        }
    }

    async fn answer_hello(&mut self, mut body: RecvStream) -> Result<Bytes, LinkError> {
        let hello = read_message(&mut body, MAX_PROOF_BYTES as usize).await?;
        let hello: HelloMessage = decode(&hello)?;
        let nonce: [u8; NONCE_BYTES] = rand::random();
        let answer = HelloAnswer {
            version: WIRE_VERSION,
            nonce,
            proof: self.secret.prove("server", &[&hello.nonce, &nonce]),
        };
        if hello.version == WIRE_VERSION {
            self.state = ProofState::Challenged {
                vm: hello.vm,
                theirs: hello.nonce,
                ours: nonce,
            };
        }
        Ok(encode(&answer)?.into())
    }

    async fn check_proof(&mut self, mut body: RecvStream) -> Result<Bytes, LinkError> {
        let proof = read_message(&mut body, MAX_PROOF_BYTES as usize).await?;
        let state = std::mem::replace(&mut self.state, ProofState::Unknown);
        let ProofState::Challenged { vm, theirs, ours } = state else {
            return Err(LinkError::Unproven);
        };
        let parts: [&[u8]; 3] = [&ours, &theirs, vm.as_str().as_bytes()];
        if !self.secret.check("client", &parts, &proof) {
            return Err(LinkError::Unproven);
        }
        self.state = ProofState::Proven(vm);
        Ok(Bytes::new())
    }
}

/// Sends an answer of one message.
pub(crate) async fn send_answer(
    respond: &mut SendResponse<Bytes>,
    message: Bytes,
) -> Result<(), LinkError> {
    let sent = respond.send_response(Response::new(()), false);
    let mut stream = sent.map_err(LinkError::Broken)?;
    if send_all(&mut stream, message).await.is_ok() {
        let _ = stream.send_data(Bytes::new(), true);
    }
    Ok(())
}
