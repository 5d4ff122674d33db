// An operator file: what is on beside the platform's own protocol. On the platform none is given and all of it is
// off. Check it with `python -m hillchute check deploy/hillchute.cue`; name it with HILLCHUTE_OPERATOR or
// `python -m hillchute route --operator FILE`. Every field, its bounds and its default: docs/operator.md.

#Dashboards: {
    name:       "dashboards"
    token_file: "/run/hillchute/dashboards.token"
}

flight: {
    listen:        "127.0.0.1:32010"
    users:         [#Dashboards, {name: "loader", password_file: "/run/hillchute/loader.password"}]
    default_route: "report"
    // tls: {certificate: "/run/hillchute/flight.crt", key: "/run/hillchute/flight.key"}
}

engines: {protocol: "line"}
