//! Routing of requests in the operators' interface.

use std::sync::Arc;

use apricotknot_core::operators::ApiErrorCode;
use apricotknot_core::operators::ErrorDetail;
use apricotknot_core::resources::DutyState;
use apricotknot_core::resources::ResourceKey;
use apricotknot_core::resources::ResourceKind;
use apricotknot_core::resources::unknown_kind_error;
use awc::http::Method;

/// Start of all paths of the operators' interface.
const API_ROOT: &str = "/api/v1/";

/// Identifies the operation that a request asks for, with its parameters from the path.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Route {
    List(ResourceKind),
    Get(ResourceKey),
    Put(ResourceKey),
    Delete(ResourceKey),
    SetDuty(ResourceKey, DutyState),
    Burn,
    Status,
    Watch,
    Explain(Arc<str>),
}

impl Route {
    /// Returns the route of a method and path, or an error that names what is allowed.
    pub(super) fn parse(method: &Method, path: &str) -> Result<Self, ErrorDetail> {
        let Some(rest) = path.strip_prefix(API_ROOT) else {
            return Err(not_found_error(path));
        };
        let parts: Vec<_> = rest.split('/').collect();
        match (method.as_str(), &parts[..]) {
            ("GET", ["burn"]) => Ok(Self::Burn),
            ("GET", ["status"]) => Ok(Self::Status),
            ("GET", ["watch"]) => Ok(Self::Watch),
            ("GET", ["explain", request]) => Ok(Self::Explain(Arc::from(*request))),
            (_, ["burn" | "status" | "watch"] | ["explain", _]) => Err(method_error(method, "GET")),
            ("GET", [kind]) => parse_kind(kind).map(Self::List),
            (_, [kind]) => {
                Err(parse_kind(kind).err().unwrap_or_else(|| method_error(method, "GET")))
            },
            ("GET", [kind, name]) => parse_key(kind, name).map(Self::Get),
            ("PUT", [kind, name]) => parse_key(kind, name).map(Self::Put),
            ("DELETE", [kind, name]) => parse_key(kind, name).map(Self::Delete),
            (_, [_, _]) => Err(method_error(method, "GET, PUT or DELETE")),
            ("POST", [kind, name, "drain"]) => duty_route(kind, name, DutyState::Out),
            ("POST", [kind, name, "undrain"]) => duty_route(kind, name, DutyState::In),
            (_, [_, _, "drain" | "undrain"]) => Err(method_error(method, "POST")),
            _ => Err(not_found_error(path)),
        }
    }
}

fn parse_kind(kind: &str) -> Result<ResourceKind, ErrorDetail> {
    ResourceKind::from_name(kind).ok_or_else(|| {
        let fault = unknown_kind_error(kind);
        ErrorDetail::new(ApiErrorCode::NotFound, fault.to_string()).faults([fault])
    })
}

fn parse_key(kind: &str, name: &str) -> Result<ResourceKey, ErrorDetail> {
    parse_kind(kind).map(|kind| ResourceKey::new(kind, name))
}

/// Returns the route of a drain or its reversal, which only data centres and endpoints have.
fn duty_route(kind: &str, name: &str, duty: DutyState) -> Result<Route, ErrorDetail> {
    let key = parse_key(kind, name)?;
    if matches!(key.kind, ResourceKind::DataCentre | ResourceKind::Endpoint) {
        return Ok(Route::SetDuty(key, duty));
    }
    let message = format!("{kind} cannot be drained; drain a data-centre or an endpoint");
    Err(ErrorDetail::new(ApiErrorCode::Invalid, message))
}

fn not_found_error(path: &str) -> ErrorDetail {
    let message = format!(
        "there is nothing at {path}; the paths are {API_ROOT}KIND, {API_ROOT}KIND/NAME, \
         {API_ROOT}KIND/NAME/drain, {API_ROOT}KIND/NAME/undrain, {API_ROOT}status, {API_ROOT}burn, \
         {API_ROOT}watch and {API_ROOT}explain/REQUEST"
    );
    ErrorDetail::new(ApiErrorCode::NotFound, message)
}

fn method_error(method: &Method, allowed: &str) -> ErrorDetail {
    let message = format!("the path does not take {method}; use {allowed}");
    ErrorDetail::new(ApiErrorCode::MethodNotAllowed, message)
}
