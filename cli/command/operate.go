package command

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/spf13/cobra"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	operatorv1 "github.com/agateway/agateway/api/operator/v1"
	"github.com/agateway/agateway/api/operator/v1/operatorv1connect"
	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/pipeline"
)

// callTimeout bounds the creation or update of a deployment.
const callTimeout = 15 * time.Second

// NewOperatorClient returns a client of the operators' interface at address (host:port). It sends
// key, the operators' key, with each request.
func NewOperatorClient(address, key string) operatorv1connect.OperatorServiceClient {
	return operatorv1connect.NewOperatorServiceClient(&http.Client{Transport: bearerTransport{key}}, "http://"+address)
}

// transport sends the calls of this package to instances.
var transport = answerhead.NewTransport(http.DefaultTransport.(*http.Transport).Clone())

// bearerTransport adds a key to each request as a bearer token.
type bearerTransport struct{ key string }

// RoundTrip implements http.RoundTripper.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+b.key)
	return transport.RoundTrip(r)
}

func (o *options) operatorClient() operatorv1connect.OperatorServiceClient {
	return NewOperatorClient(o.address, o.key)
}

// printMessage writes m as JSON, or calls text.
func (o *options) printMessage(w io.Writer, m proto.Message, text func() error) error {
	if o.output != outputJSON {
		return text()
	}
	raw, err := protojson.MarshalOptions{Multiline: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(raw))
	return err
}

func deploymentCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "deployment", Short: "Creates, updates, lists and deletes deployments"}
	c.AddCommand(deploymentPut(o, true), deploymentPut(o, false), deploymentGet(o), deploymentList(o), deploymentDelete(o), deploymentWatch(o))
	return c
}

// readDeployment reads a deployment from a JSON file. Any failure is a usageError.
func readDeployment(file string) (*operatorv1.Deployment, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, usageError{err}
	}
	var d operatorv1.Deployment
	if err := protojson.Unmarshal(raw, &d); err != nil {
		return nil, usageError{fmt.Errorf("%s: %w", file, err)}
	}
	return &d, nil
}

func deploymentPut(o *options, create bool) *cobra.Command {
	var version uint64
	var operation string
	c := &cobra.Command{Use: "create FILE", Short: "Creates a deployment from a JSON file", Args: cobra.ExactArgs(1)}
	if !create {
		c.Use, c.Short = "update FILE", "Updates a deployment from a JSON file"
		c.Flags().Uint64Var(&version, "version", 0, "version that the change was made from")
	}
	c.Flags().StringVar(&operation, "operation", "", "operation id; a retry with the same id is the same change (default: a new one)")
	c.RunE = func(cmd *cobra.Command, args []string) error {
		d, err := readDeployment(args[0])
		if err != nil {
			return err
		}
		if operation == "" {
			operation = uuid.NewString()
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), callTimeout)
		defer cancel()
		stored, err := putDeployment(ctx, o, d, version, operation, create)
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), stored, func() error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s version %d\n", d.GetName(), stored.GetVersion())
			return err
		})
	}
	return c
}

func putDeployment(ctx context.Context, o *options, d *operatorv1.Deployment, version uint64, operation string, create bool) (*operatorv1.StoredDeployment, error) {
	if create {
		r, err := o.operatorClient().CreateDeployment(ctx, connect.NewRequest(&operatorv1.CreateDeploymentRequest{Deployment: d, OperationId: operation}))
		if err != nil {
			return nil, err
		}
		return r.Msg.Stored, nil
	}
	r, err := o.operatorClient().UpdateDeployment(ctx, connect.NewRequest(&operatorv1.UpdateDeploymentRequest{Deployment: d, ExpectedVersion: version, OperationId: operation}))
	if err != nil {
		return nil, err
	}
	return r.Msg.Stored, nil
}

func deploymentGet(o *options) *cobra.Command {
	return &cobra.Command{Use: "get NAME", Short: "Shows a deployment", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		r, err := o.operatorClient().GetDeployment(cmd.Context(), connect.NewRequest(&operatorv1.GetDeploymentRequest{Name: args[0]}))
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), r.Msg.Stored, func() error { return writeDeployments(cmd.OutOrStdout(), r.Msg.Stored) })
	}}
}

func deploymentList(o *options) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Lists deployments", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		r, err := o.operatorClient().ListDeployments(cmd.Context(), connect.NewRequest(&operatorv1.ListDeploymentsRequest{}))
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), r.Msg, func() error { return writeDeployments(cmd.OutOrStdout(), r.Msg.Stored...) })
	}}
}

func writeDeployments(w io.Writer, list ...*operatorv1.StoredDeployment) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, "NAME\tVERSION\tKIND\tSERVICE\tMODEL\tTEAMS")
	for _, s := range list {
		d := s.GetDeployment()
		kind := strings.ToLower(strings.TrimPrefix(d.GetKind().String(), "KIND_"))
		_, _ = fmt.Fprintf(t, "%s\t%d\t%s\t%s\t%s\t%s\n", d.GetName(), s.GetVersion(), kind, d.GetService(), d.GetModel(), strings.Join(d.GetTeams(), ","))
	}
	return t.Flush()
}

func deploymentDelete(o *options) *cobra.Command {
	var version uint64
	c := &cobra.Command{Use: "delete NAME", Short: "Deletes a deployment", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		r, err := o.operatorClient().DeleteDeployment(cmd.Context(), connect.NewRequest(&operatorv1.DeleteDeploymentRequest{
			Name: args[0], ExpectedVersion: version, OperationId: uuid.NewString(),
		}))
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), r.Msg, func() error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s deleted, version %d\n", args[0], r.Msg.Version)
			return err
		})
	}}
	c.Flags().Uint64Var(&version, "version", 0, "version that is to be deleted")
	return c
}

func deploymentWatch(o *options) *cobra.Command {
	return &cobra.Command{Use: "watch", Short: "Shows deployments as they change", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		s, err := o.operatorClient().WatchDeployments(cmd.Context(), connect.NewRequest(&operatorv1.WatchDeploymentsRequest{}))
		if err != nil {
			return err
		}
		for s.Receive() {
			d := s.Msg().GetStored()
			err := o.printMessage(cmd.OutOrStdout(), d, func() error {
				_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s version %d deleted=%t\n", d.GetDeployment().GetName(), d.GetVersion(), d.GetDeleted())
				return err
			})
			if err != nil {
				return err
			}
		}
		return s.Err()
	}}
}

func teamCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "team", Short: "Creates, updates and lists teams"}
	c.AddCommand(teamPut(o), teamList(o), teamKey())
	return c
}

func teamPut(o *options) *cobra.Command {
	t := &operatorv1.Team{}
	var version uint64
	c := &cobra.Command{Use: "put NAME", Short: "Creates (version 0) or updates a team", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		t.Name = args[0]
		r, err := o.operatorClient().PutTeam(cmd.Context(), connect.NewRequest(&operatorv1.PutTeamRequest{Team: t, ExpectedVersion: version, OperationId: uuid.NewString()}))
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), r.Msg.Stored, func() error {
			_, err := fmt.Fprintf(cmd.OutOrStdout(), "%s version %d\n", t.Name, r.Msg.Stored.Version)
			return err
		})
	}}
	f := c.Flags()
	f.StringSliceVar(&t.KeySha256, "key-sha256", nil, "SHA-256 of a team key, in hexadecimal; may be given more than once")
	f.Float64Var(&t.Rate, "rate", 0, "requests per second over the fleet; 0 for no limit")
	f.Float64Var(&t.Burst, "burst", 0, "requests at once")
	f.Uint32Var(&t.Concurrent, "concurrent", 0, "requests in progress over the fleet; 0 for no limit")
	f.Uint64Var(&version, "version", 0, "version that the change was made from; 0 creates")
	return c
}

func teamList(o *options) *cobra.Command {
	return &cobra.Command{Use: "list", Short: "Lists teams", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		r, err := o.operatorClient().ListTeams(cmd.Context(), connect.NewRequest(&operatorv1.ListTeamsRequest{}))
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), r.Msg, func() error {
			for _, t := range r.Msg.Stored {
				if _, err := fmt.Fprintf(cmd.OutOrStdout(), "%s version %d\n", t.GetTeam().GetName(), t.GetVersion()); err != nil {
					return err
				}
			}
			return nil
		})
	}}
}

// teamKey returns the command that generates a team key. It contacts no instance: agateway stores
// only the hash of a key.
func teamKey() *cobra.Command {
	return &cobra.Command{Use: "key NAME", Short: "Makes a new key for a team, and shows it with its hash", Args: cobra.ExactArgs(1), RunE: func(cmd *cobra.Command, args []string) error {
		key := pipeline.TeamKeyPrefix + args[0] + "_" + strings.ReplaceAll(uuid.NewString()+uuid.NewString(), "-", "")
		_, err := fmt.Fprintf(cmd.OutOrStdout(), "key=%s\nsha256=%s\n", key, hashKey(key))
		return err
	}}
}

// hashKey returns the SHA-256 of a key in hexadecimal.
func hashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func fleetCommand(o *options) *cobra.Command {
	c := &cobra.Command{Use: "fleet", Short: "Shows the fleet"}
	c.AddCommand(&cobra.Command{Use: "status", Short: "Shows instances and endpoints as one instance knows them", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		r, err := o.operatorClient().GetFleetStatus(cmd.Context(), connect.NewRequest(&operatorv1.GetFleetStatusRequest{}))
		if err != nil {
			return err
		}
		return o.printMessage(cmd.OutOrStdout(), r.Msg, func() error { return writeStatus(cmd.OutOrStdout(), r.Msg) })
	}})
	return c
}

func writeStatus(w io.Writer, s *operatorv1.GetFleetStatusResponse) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "configuration %s, platform reachable: %t\n\n", s.ConfigurationDigest, s.PlatformReachable)
	_, _ = fmt.Fprintln(t, "INSTANCE\tADDRESS\tDATA CENTRE\tSTATE\tOPEN\tCONFIGURATION")
	for _, i := range s.Instances {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%s\n", i.Id, i.Address, i.DataCentre, i.State, i.OpenRequests, i.ConfigurationDigest)
	}
	_, _ = fmt.Fprintln(t, "\nENDPOINT\tSERVICE\tDATA CENTRE\tSTATE\tLOAD\tSLOTS\tMODELS")
	for _, e := range s.Endpoints {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s\n", e.Id, e.Service, e.DataCentre, e.State, e.EstimatedLoad, e.Slots, strings.Join(e.Models, ","))
	}
	return t.Flush()
}
